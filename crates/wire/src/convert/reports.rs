//! Conversions of reports to the leader and of the replies to them.

use super::{WireError, count, read_each, text};
use crate::peer_capnp as schema;
use crate::{Report, ReportReply};
use lycheehub_control::moves::{Observation, ObservationKey};
use lycheehub_control::slots::Demand;
use smol_str::SmolStr;

impl TryFrom<schema::report::Reader<'_>> for Report {
    type Error = WireError;

    fn try_from(reader: schema::report::Reader<'_>) -> Result<Self, WireError> {
        let mut report = Self {
            instance: text(reader.get_instance())?.into(),
            grants_digest: reader.get_grants_digest(),
            ..Self::default()
        };
        let demand = |demand: schema::demand::Reader<'_>| {
            Ok((text(demand.get_endpoint())?.into(), demand.try_into()?))
        };
        let trip = |trip: schema::trip::Reader<'_>| {
            let reason = text(trip.get_reason())?.into();
            Ok((SmolStr::new(text(trip.get_move_id())?), reason))
        };
        report.demands.extend(read_each("demands", reader.get_demands()?, demand));
        let observations = read_each("observations", reader.get_observations()?, read_observation);
        report.observations.extend(observations);
        report.trips.extend(read_each("trips", reader.get_trips()?, trip));
        Ok(report)
    }
}

impl TryFrom<schema::demand::Reader<'_>> for Demand {
    type Error = WireError;

    fn try_from(reader: schema::demand::Reader<'_>) -> Result<Self, WireError> {
        let mut demand = Self { in_use: reader.get_in_use(), ..Self::default() };
        for (wanted, value) in demand.wanted.iter_mut().zip(reader.get_wanted()?.iter()) {
            *wanted = value;
        }
        Ok(demand)
    }
}

/// The largest sum over observations that a message can state, far beyond what requests add up to. The
/// square of a sum of many such ones is finite.
const SUM_MAX: f64 = 1e15;

fn sum(value: f64) -> Result<f64, WireError> {
    // False for what is no number.
    let is_in_range = value.abs() <= SUM_MAX;
    if is_in_range { Ok(value) } else { Err(WireError::Sum(value)) }
}

fn read_observation(
    reader: schema::observation::Reader<'_>,
) -> Result<(ObservationKey, Observation), WireError> {
    let key = ObservationKey {
        service: text(reader.get_service())?.into(),
        version: text(reader.get_version())?.into(),
        route: text(reader.get_route())?.into(),
    };
    let observation = Observation {
        requests: count(reader.get_requests())?,
        failures: reader.get_failures().min(reader.get_requests()),
        timed: count(reader.get_timed())?,
        log_time_sum: sum(reader.get_log_time_sum())?,
        log_time_square_sum: sum(reader.get_log_time_square_sum())?,
    };
    Ok((key, observation))
}

impl TryFrom<schema::report_reply::Reader<'_>> for ReportReply {
    type Error = WireError;

    fn try_from(reader: schema::report_reply::Reader<'_>) -> Result<Self, WireError> {
        let mut reply =
            Self { taken: reader.get_taken(), same: reader.get_same(), ..Self::default() };
        let grant = |grant: schema::grant::Reader<'_>| {
            Ok((text(grant.get_endpoint())?.into(), grant.get_slots()))
        };
        reply.grants.extend(read_each("grants", reader.get_grants()?, grant));
        Ok(reply)
    }
}

/// Writes a report.
pub fn write_report(report: &Report, mut builder: schema::report::Builder<'_>) {
    builder.set_instance(report.instance.as_str());
    builder.set_grants_digest(report.grants_digest);
    let mut demands = builder.reborrow().init_demands(report.demands.len() as u32);
    for (i, (endpoint, demand)) in report.demands.iter().enumerate() {
        let mut entry = demands.reborrow().get(i as u32);
        entry.set_endpoint(endpoint.as_str());
        entry.set_in_use(demand.in_use);
        let mut wanted = entry.init_wanted(demand.wanted.len() as u32);
        for (rank, value) in demand.wanted.iter().enumerate() {
            wanted.set(rank as u32, *value);
        }
    }
    let mut observations = builder.reborrow().init_observations(report.observations.len() as u32);
    for (i, (key, observation)) in report.observations.iter().enumerate() {
        write_observation(key, observation, observations.reborrow().get(i as u32));
    }
    let mut trips = builder.init_trips(report.trips.len() as u32);
    for (i, (move_id, reason)) in report.trips.iter().enumerate() {
        let mut trip = trips.reborrow().get(i as u32);
        trip.set_move_id(&**move_id);
        trip.set_reason(&**reason);
    }
}

fn write_observation(
    key: &ObservationKey,
    observation: &Observation,
    mut builder: schema::observation::Builder<'_>,
) {
    builder.set_service(key.service.as_str());
    builder.set_version(key.version.as_str());
    builder.set_route(key.route.as_str());
    builder.set_requests(observation.requests);
    builder.set_failures(observation.failures);
    builder.set_timed(observation.timed);
    builder.set_log_time_sum(observation.log_time_sum);
    builder.set_log_time_square_sum(observation.log_time_square_sum);
}

/// Writes the reply to a report.
pub fn write_report_reply(reply: &ReportReply, mut builder: schema::report_reply::Builder<'_>) {
    builder.set_taken(reply.taken);
    builder.set_same(reply.same);
    let mut grants = builder.init_grants(reply.grants.len() as u32);
    for (i, (endpoint, slots)) in reply.grants.iter().enumerate() {
        let mut grant = grants.reborrow().get(i as u32);
        grant.set_endpoint(endpoint.as_str());
        grant.set_slots(*slots);
    }
}
