//! Runs one stand-in endpoint until its standard input closes.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

use gumdrop::Options as _;
use lycheehub_standin::endpoint::{Endpoint, Options, Records};
use lycheehub_types::EndpointKind;
use std::io::Read;
use std::process::ExitCode;

#[derive(Debug, gumdrop::Options)]
struct Arguments {
    #[options(help = "show this help")]
    help: bool,
    #[options(help = "the endpoint's name", required, no_short)]
    name: String,
    #[options(help = "the service", required, no_short)]
    service: String,
    #[options(help = "the version", default = "v1", no_short)]
    version: String,
    #[options(help = "a plain service instead of a model engine", no_short)]
    plain: bool,
    #[options(help = "the failure domain", default = "here", no_short)]
    failure_domain: String,
    #[options(help = "the hardware generation", default = "gen1", no_short)]
    hardware: String,
    #[options(help = "how many requests run at once", default = "8", no_short)]
    slots: u32,
    #[options(help = "milliseconds per token", default = "20", no_short)]
    token_ms: f64,
    #[options(help = "instances to announce to, as address:port[,...]", no_short)]
    announce_to: String,
    #[options(help = "the endpoints' key", default = "try-endpoint", no_short)]
    key: String,
    #[options(help = "where to listen", default = "127.0.0.1:0", no_short)]
    listen: String,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    let kind = if arguments.plain { EndpointKind::Plain } else { EndpointKind::Engine };
    let options = Options {
        name: arguments.name,
        kind,
        service: arguments.service,
        version: arguments.version,
        hardware: arguments.hardware,
        failure_domain: arguments.failure_domain,
        slots: arguments.slots,
        token_ms: arguments.token_ms,
        announce_to: arguments.announce_to.split(',').map(str::to_owned).collect(),
        key: arguments.key,
        listen: arguments.listen,
        ..Options::default()
    };
    match Endpoint::start(options, Records::default()) {
        Ok(endpoint) => {
            println!("{}", endpoint.address());
            // The end of the input, by whatever cause, ends the stand-in.
            let _ = std::io::stdin().read_to_end(&mut Vec::new());
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("lycheehub-standin: {error}");
            ExitCode::FAILURE
        }
    }
}
