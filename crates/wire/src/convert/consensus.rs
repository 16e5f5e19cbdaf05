//! Conversions of the messages of the consensus protocol.

use super::{WireError, count, text};
use crate::peer_capnp as schema;
use lycheehub_consensus::{Config, Entry, Message, Payload, Position, ReplicaId, Snapshot};
use lycheehub_types::InstanceName;

impl TryFrom<schema::position::Reader<'_>> for Position {
    type Error = WireError;

    fn try_from(reader: schema::position::Reader<'_>) -> Result<Self, WireError> {
        Ok(Self { term: count(reader.get_term())?, index: count(reader.get_index())? })
    }
}

impl TryFrom<schema::config::Reader<'_>> for Config {
    type Error = WireError;

    fn try_from(reader: schema::config::Reader<'_>) -> Result<Self, WireError> {
        let mut config = Self::default();
        for voter in reader.get_voters()? {
            let instance = InstanceName::from(text(voter.get_instance())?);
            config.voters.insert(ReplicaId(voter.get_id()), instance);
        }
        Ok(config)
    }
}

impl TryFrom<schema::entry::Reader<'_>> for Entry {
    type Error = WireError;

    fn try_from(reader: schema::entry::Reader<'_>) -> Result<Self, WireError> {
        use schema::entry::Which;
        let payload = match reader.which()? {
            Which::Noop(()) => Payload::Noop,
            Which::Config(config) => Payload::Config(config?.try_into()?),
            Which::Command(command) => Payload::Command(command?.to_vec()),
        };
        Ok(Self { position: reader.get_position()?.try_into()?, payload })
    }
}

impl TryFrom<schema::snapshot::Reader<'_>> for Snapshot {
    type Error = WireError;

    fn try_from(reader: schema::snapshot::Reader<'_>) -> Result<Self, WireError> {
        Ok(Self {
            position: reader.get_position()?.try_into()?,
            config: reader.get_config()?.try_into()?,
            data: reader.get_data()?.to_vec(),
        })
    }
}

impl TryFrom<schema::consensus_message::Reader<'_>> for Message {
    type Error = WireError;

    fn try_from(reader: schema::consensus_message::Reader<'_>) -> Result<Self, WireError> {
        use schema::consensus_message::Which;
        Ok(match reader.which()? {
            Which::PreVote(vote) => {
                let vote = vote?;
                Self::PreVote { term: count(vote.get_term())?, last: vote.get_last()?.try_into()? }
            }
            Which::PreVoteReply(reply) => {
                let reply = reply?;
                Self::PreVoteReply { term: count(reply.get_term())?, granted: reply.get_granted() }
            }
            Which::RequestVote(vote) => {
                let vote = vote?;
                let last = vote.get_last()?.try_into()?;
                Self::RequestVote {
                    term: count(vote.get_term())?,
                    last,
                    transfer: vote.get_transfer(),
                }
            }
            Which::VoteReply(reply) => {
                let reply = reply?;
                Self::VoteReply { term: count(reply.get_term())?, granted: reply.get_granted() }
            }
            Which::Append(append) => read_append(append?)?,
            Which::AppendReply(reply) => {
                let reply = reply?;
                Self::AppendReply {
                    term: count(reply.get_term())?,
                    accepted: reply.get_accepted(),
                    index: count(reply.get_index())?,
                    round: count(reply.get_round())?,
                }
            }
            Which::Install(install) => {
                let install = install?;
                let snapshot = install.get_snapshot()?.try_into()?;
                Self::Install {
                    term: count(install.get_term())?,
                    snapshot,
                    round: count(install.get_round())?,
                }
            }
            Which::CampaignNow(term) => Self::CampaignNow { term: count(term)? },
        })
    }
}

/// Reads a message of the consensus protocol. Returns `None`, logged, for one that only a newer build
/// knows, or with a term, index or round that no replica reaches: the protocol allows messages to be
/// lost, while an error would end the connection.
///
/// # Errors
/// Fails if the message cannot be decoded.
pub fn read_message(
    reader: schema::consensus_message::Reader<'_>,
) -> Result<Option<Message>, WireError> {
    match Message::try_from(reader) {
        Ok(message) => Ok(Some(message)),
        Err(error @ (WireError::Unknown(_) | WireError::Count(_))) => {
            spdlog::warn!("consensus message ignored", kv: { error: });
            Ok(None)
        }
        Err(error) => Err(error),
    }
}

fn read_append(append: schema::append::Reader<'_>) -> Result<Message, WireError> {
    let entries = append.get_entries()?.iter().map(Entry::try_from);
    Ok(Message::Append {
        term: count(append.get_term())?,
        previous: append.get_previous()?.try_into()?,
        entries: entries.collect::<Result<_, _>>()?,
        commit: count(append.get_commit())?,
        round: count(append.get_round())?,
    })
}

fn write_position(position: Position, mut builder: schema::position::Builder<'_>) {
    builder.set_term(position.term);
    builder.set_index(position.index);
}

/// Writes the set of voters.
pub fn write_config(config: &Config, builder: schema::config::Builder<'_>) {
    let mut voters = builder.init_voters(config.voters.len() as u32);
    for (i, (id, instance)) in config.voters.iter().enumerate() {
        let mut voter = voters.reborrow().get(i as u32);
        voter.set_id(id.0);
        voter.set_instance(instance.as_str());
    }
}

fn write_entry(entry: &Entry, mut builder: schema::entry::Builder<'_>) {
    write_position(entry.position, builder.reborrow().init_position());
    match &entry.payload {
        Payload::Noop => builder.set_noop(()),
        Payload::Config(config) => write_config(config, builder.init_config()),
        Payload::Command(command) => builder.set_command(command),
    }
}

/// Writes a message of the consensus protocol.
pub fn write_message(message: &Message, mut builder: schema::consensus_message::Builder<'_>) {
    match message {
        Message::PreVote { term, last } => {
            write_vote(*term, *last, false, builder.init_pre_vote());
        }
        Message::PreVoteReply { term, granted } => {
            write_vote_reply(*term, *granted, builder.init_pre_vote_reply());
        }
        Message::RequestVote { term, last, transfer } => {
            write_vote(*term, *last, *transfer, builder.init_request_vote());
        }
        Message::VoteReply { term, granted } => {
            write_vote_reply(*term, *granted, builder.init_vote_reply());
        }
        Message::Append { term, previous, entries, commit, round } => {
            let mut append = builder.init_append();
            append.set_term(*term);
            write_position(*previous, append.reborrow().init_previous());
            append.set_commit(*commit);
            append.set_round(*round);
            let mut list = append.init_entries(entries.len() as u32);
            for (i, entry) in entries.iter().enumerate() {
                write_entry(entry, list.reborrow().get(i as u32));
            }
        }
        Message::AppendReply { term, accepted, index, round } => {
            let mut reply = builder.init_append_reply();
            reply.set_term(*term);
            reply.set_accepted(*accepted);
            reply.set_index(*index);
            reply.set_round(*round);
        }
        Message::Install { term, snapshot, round } => {
            let mut install = builder.init_install();
            install.set_term(*term);
            install.set_round(*round);
            let mut builder = install.init_snapshot();
            write_position(snapshot.position, builder.reborrow().init_position());
            write_config(&snapshot.config, builder.reborrow().init_config());
            builder.set_data(&snapshot.data);
        }
        Message::CampaignNow { term } => builder.set_campaign_now(*term),
    }
}

fn write_vote(term: u64, last: Position, transfer: bool, mut builder: schema::vote::Builder<'_>) {
    builder.set_term(term);
    write_position(last, builder.reborrow().init_last());
    builder.set_transfer(transfer);
}

fn write_vote_reply(term: u64, granted: bool, mut builder: schema::vote_reply::Builder<'_>) {
    builder.set_term(term);
    builder.set_granted(granted);
}
