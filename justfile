# Lists the recipes.
default:
    @just --list

# Runs what CI runs.
ci:
    .ci/run

# Makes the peer protocol's generated code anew; needs Debian's capnproto and the crate capnpc.
schema:
    cd crates/wire && capnp compile -orust:src/generated --src-prefix=schema schema/peer.capnp

# Runs the demonstration of README.
demo:
    ./demo
