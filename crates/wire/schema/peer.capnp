@0xc7f1b6a2d8e34b19;
# The protocol between lycheehub's own processes.

struct Position { term @0 :UInt64; index @1 :UInt64; }
struct Voter { id @0 :UInt64; instance @1 :Text; }
struct Config { voters @0 :List(Voter); }

struct Entry {
  position @0 :Position;
  union {
    noop @1 :Void;
    config @2 :Config;
    command @3 :Data;
  }
}

struct Snapshot { position @0 :Position; config @1 :Config; data @2 :Data; }

struct Vote { term @0 :UInt64; last @1 :Position; transfer @2 :Bool; }
struct VoteReply { term @0 :UInt64; granted @1 :Bool; }

struct Append {
  term @0 :UInt64;
  previous @1 :Position;
  entries @2 :List(Entry);
  commit @3 :UInt64;
  round @4 :UInt64;
}

struct AppendReply { term @0 :UInt64; accepted @1 :Bool; index @2 :UInt64; round @3 :UInt64; }
struct Install { term @0 :UInt64; snapshot @1 :Snapshot; round @2 :UInt64; }

struct ConsensusMessage {
  union {
    preVote @0 :Vote;
    preVoteReply @1 :VoteReply;
    requestVote @2 :Vote;
    voteReply @3 :VoteReply;
    append @4 :Append;
    appendReply @5 :AppendReply;
    install @6 :Install;
    campaignNow @7 :UInt64;
  }
}

struct EndpointRecord {
  endpoint @0 :Text;
  address @1 :Text;
  service @2 :Text;
  version @3 :Text;
  plain @4 :Bool;
  hardware @5 :Text;
  failureDomain @6 :Text;
  slots @7 :UInt32;
  fencing @8 :Bool;
  incarnation @9 :UInt64;
  sequence @10 :UInt64;
  leaving @11 :Bool;
  running @12 :UInt32;
  waiting @13 :UInt32;
  ageMs @14 :UInt64;
  takesOrders @15 :Bool;
  # How much longer the endpoint takes only a few requests per second after its start.
  coldMs @16 :UInt32;
}

struct ServiceCount { service @0 :Text; count @1 :UInt32; }

struct InstanceRecord {
  instance @0 :Text;
  peerAddress @1 :Text;
  httpAddress @2 :Text;
  failureDomain @3 :Text;
  incarnation @4 :UInt64;
  sequence @5 :UInt64;
  replicaId @6 :UInt64;
  revisionInForce @7 :UInt64;
  stopping @8 :Bool;
  shedFloor @9 :List(ServiceCount);
  ageMs @10 :UInt64;
}

# A new sequence number of an endpoint whose record the receiver has.
struct Renewal {
  key @0 :UInt64;
  sequence @1 :UInt64;
  ageMs @2 :UInt32;
  running @3 :UInt16;
  waiting @4 :UInt16;
}

# A new sequence number of an instance whose record the receiver has.
struct InstanceRenewal {
  key @0 :UInt64;
  sequence @1 :UInt64;
  revisionInForce @2 :UInt64;
  ageMs @3 :UInt32;
}

struct Delta {
  instances @0 :List(InstanceRecord);
  endpoints @1 :List(EndpointRecord);
  renewals @2 :List(Renewal);
  instanceRenewals @3 :List(InstanceRenewal);
}

struct Observation {
  service @0 :Text;
  version @1 :Text;
  route @2 :Text;
  requests @3 :UInt64;
  failures @4 :UInt64;
  timed @5 :UInt64;
  logTimeSum @6 :Float64;
  logTimeSquareSum @7 :Float64;
}

struct Demand { endpoint @0 :Text; inUse @1 :UInt32; wanted @2 :List(UInt32); }
struct Trip { moveId @0 :Text; reason @1 :Text; }

struct Report {
  instance @0 :Text;
  demands @1 :List(Demand);
  observations @2 :List(Observation);
  trips @3 :List(Trip);
  # A digest of the grants that the sender holds.
  grantsDigest @4 :UInt64;
}

struct Grant { endpoint @0 :Text; slots @1 :UInt32; }

struct ReportReply {
  # Whether the receiver leads and so took the report.
  taken @0 :Bool;
  grants @1 :List(Grant);
  # All grants are those that the sender holds; none are listed.
  same @2 :Bool;
}

struct ProposeReply {
  union {
    # The receiver does not lead; nothing was changed.
    notLeader @0 :Void;
    # Leadership was lost on the way: the command may yet be committed.
    unknown @1 :Void;
    accepted @2 :UInt64;
    conflict @3 :Conflict;
    invalid @4 :Text;
    stepped @5 :Bool;
    claimGranted @6 :Void;
    claimTaken @7 :ClaimTaken;
    claimOtherRequest @8 :Void;
    claimsFull @9 :Void;
    settled @10 :Void;
    # The version of the route document that is in force.
    document @11 :UInt64;
    rollout @12 :Void;
    evacuation @13 :Void;
  }
}

struct Conflict { revision @0 :UInt64; operator @1 :Text; requestId @2 :Text; }

enum ClaimState { open @0; answered @1; notRun @2; unknown @3; }

struct ClaimTaken {
  instance @0 :Text;
  incarnation @1 :UInt64;
  request @2 :UInt64;
  state @3 :ClaimState;
}

struct KeptAnswer {
  union {
    # No answer is kept here.
    gone @0 :Void;
    running @1 :Void;
    answered @2 :Answer;
  }
}

struct Answer { status @0 :UInt16; contentType @1 :Text; body @2 :Data; }

# A control replica, and where it listens for peers.
struct Neighbour { instance @0 :Text; address @1 :Text; }

# An endpoint as control replicas pass it on.
struct Listing {
  record @0 :EndpointRecord;
  gone @1 :Bool;
  withdrawn @2 :Bool;
  # The last incarnation that is known to have left; absent if there is none.
  left @3 :Incarnation;
  # The listing that was replaced by one with earlier numbers; absent if there is none.
  overridden @4 :Overridden;
}

struct Incarnation { number @0 :UInt64; }
struct Overridden { count @0 :UInt32; incarnation @1 :UInt64; sequence @2 :UInt64; }

# How far the sender has been told by a replica itself, in one run of it.
struct Heard { replica @0 :Text; epoch @1 :UInt64; change @2 :UInt64; }

struct PrefixPart { id @0 :UInt64; tokens @1 :UInt32; }

# A request that asks for an endpoint.
struct Job {
  number @0 :UInt64;
  service @1 :Text;
  rank @2 :UInt8;
  # Empty where the request came without a key.
  account @3 :Text;
  # The tokens that the request is counted by, 0 where it does not tell them.
  toldTokens @4 :UInt64;
  promptTokens @5 :UInt32;
  outputTokens @6 :UInt32;
  prefix @7 :List(PrefixPart);
  objectiveLeftMs @8 :UInt64;
  deadlineLeftMs @9 :UInt64;
  failureDomain @10 :Text;
  tried @11 :List(Text);
  repeat @12 :Bool;
  tier @13 :UInt8;
  patienceLeftMs @14 :UInt64;
  returning @15 :Bool;
  goesOn @16 :Bool;
  isFinal @17 :Bool;
  # The identity of the request; empty where the sender tells none.
  digest @18 :Data;
  # The regions in which the request may run, if `regionBound`.
  regions @19 :List(Text);
  regionBound @20 :Bool;
}

struct Decision {
  union {
    place @0 :Place;
    refuse @1 :Refuse;
  }
}

struct Place { endpoint @0 :Text; address @1 :Text; firstByteMs @2 :UInt64; }

enum Reason {
  overloaded @0; noEndpoint @1; quotaExceeded @2; retriesExhausted @3; quarantined @4;
  noEndpointInRegion @5;
}

# Which rule refused the request.
enum Rule {
  other @0; infeasible @1; late @2; overdue @3; tierShed @4; queueFull @5; closed @6;
}

struct Refuse {
  reason @0 :Reason;
  retryAfterMs @1 :UInt64;
  rule @2 :Rule;
  # The inputs of the rule, in milliseconds: the expected slot time on the mean and on the fastest
  # endpoint, and the backlog per slot.
  meanMs @3 :UInt64;
  fastestMs @4 :UInt64;
  backlogMs @5 :UInt64;
}

enum Outcome {
  answered @0; failed @1; rejected @2; broken @3; notConnected @4; misdirected @5; abandoned @6;
}

struct Finished {
  number @0 :UInt64;
  outcome @1 :Outcome;
  hasFirstByte @2 :Bool;
  firstByteMs @3 :UInt32;
  restMs @4 :UInt32;
  events @5 :UInt32;
  # The endpoint closed or reset the connection before the response was complete.
  connectionLost @6 :Bool;
  # Another instance did not reach the endpoint either.
  confirmed @7 :Bool;
}

# A request whose answer began so long ago.
struct Begun { number @0 :UInt64; agoMs @1 :UInt32; }

# The parts of a prompt on which no answer had begun, the request's own last, and the identity of the
# request, empty where it is not known.
struct Prompt { parts @0 :List(UInt64); digest @1 :Data; }

# An endpoint that crashed so long ago, and the requests that were at work there.
struct Crash {
  service @0 :Text;
  endpoint @1 :Text;
  incarnation @2 :UInt64;
  agoMs @3 :UInt64;
  prompts @4 :List(Prompt);
}

# A part of prompts on which an answer was last begun so long ago.
struct PartAnswer { service @0 :Text; part @1 :UInt64; agoMs @2 :UInt64; }

# A request that was last answered whole so long ago.
struct RequestAnswer { service @0 :Text; digest @1 :Data; agoMs @2 :UInt64; }

# Parts of prompts on which endpoints crash: requests that hold all of them are refused. A quarantine of
# a single request has `digest` and `requestParts` and no `parts`, so that a reader who does not know
# these refuses nothing.
struct Quarantine {
  service @0 :Text;
  parts @1 :List(UInt64);
  firstCrashAgoMs @2 :UInt64;
  nextTrialMs @3 :UInt64;
  trials @4 :UInt32;
  digest @5 :Data;
  requestParts @6 :List(UInt64);
}

# What an instance has seen of crashes.
struct CrashReport {
  crashes @0 :List(Crash);
  answers @1 :List(PartAnswer);
  quarantines @2 :List(Quarantine);
  requests @3 :List(RequestAnswer);
}

struct InFlight {
  number @0 :UInt64;
  endpoint @1 :Text;
  memoryTokens @2 :UInt64;
  stream @3 :Bool;
  # How long ago it was placed.
  ageMs @4 :UInt64;
  # The parts of its prompt, the request's own last.
  parts @5 :List(UInt64);
  # The identity of the request; empty where it is not known.
  digest @6 :Data;
}

struct Usage { account @0 :Text; agoMs @1 :UInt64; units @2 :Float64; }

# The first attempts and the retries of an instance for a service in a span that began so long ago.
struct RetryUsage {
  service @0 :Text;
  agoMs @1 :UInt64;
  requests @2 :UInt32;
  retries @3 :UInt32;
}

# The requests per second that an endpoint takes from all instances together, and how long ago it
# said so.
struct StatedLimit { perS @0 :Float64; ageMs @1 :UInt64; }

# The limit of an endpoint; the incarnation is 0 where it is not known.
struct Limit { endpoint @0 :Text; incarnation @1 :UInt64; stated @2 :StatedLimit; }

# What an endpoint limits: the requests that it takes, or those that it can reject.
enum LimitKind { requests @0; rejections @1; }

# What an instance asks of the dispatcher at the leader; the end of the connection ends it.
interface Placement {
  # Answers when there is room, or as soon as it is certain that there will be none in time.
  place @0 (job :Job) -> (decision :Decision);
  # Also serves as a heartbeat; answers how many instances there are, and which client accounts
  # have used up most of their quota. A heartbeat is also answered with the limits of all endpoints
  # where `limitsRevision` is not the newest, and so with the quarantines. It tells which answers
  # have begun since the last one, and whether the sender reaches no endpoint itself; it is answered
  # with the addresses of some instances that do and relay connections.
  finish @1 (finished :List(Finished), limitsRevision :UInt64, begun :List(Begun),
             quarantinesRevision :UInt64, pathLost :Bool)
    -> (instances :UInt32, tight :List(Text), limitsRevision :UInt64, limits :List(Limit),
        quarantinesRevision :UInt64, quarantines :List(Quarantine), relays :List(Text));
  # The request has had no answer for much longer than expected.
  stalled @2 (number :UInt64) -> ();
  # The caller of a request that waits has left.
  withdraw @3 (number :UInt64) -> ();
  # What an endpoint said of itself in an answer to this instance: that it leaves, that it wants
  # nothing from this instance for so long, or its limit, null where it said none; 0 where the
  # incarnation that said it is not known. `rejections` is how many requests a second it can reject.
  heed @4 (endpoint :Text, leaving :Bool, pauseMs :UInt64, incarnation :UInt64, limit :StatedLimit,
           rejections :StatedLimit) -> ();
  # The answer to the request named no limit of this kind.
  unlimited @5 (number :UInt64, kind :LimitKind) -> ();
}

# What a connection offers before the caller has proved that it holds the peer key.
interface Greeter {
  challenge @0 () -> (nonce :Data);
  login @1 (instance :Text, nonce :Data, proof :Data) -> (proof :Data, peer :Peer);
}

interface Peer {
  consensus @0 (sender :UInt64, receiver :UInt64, message :ConsensusMessage) -> ();
  status @1 () -> (id :UInt64, config :Config);
  # Answers what the sender has not been told; all of it where the sender has just started.
  gossip @2 (sender :Text, started :Bool, delta :Delta) -> (delta :Delta);
  propose @3 (command :Data) -> (reply :ProposeReply);
  # Confirms leadership with a quorum; answers what changed after `revision`, as of then.
  read @4 (revision :UInt64) -> (confirmed :Bool, feed :Data);
  # Answers as soon as anything changed after `revision`, or after `waitMs`.
  follow @5 (revision :UInt64, waitMs :UInt32) -> (feed :Data);
  report @6 (report :Report) -> (reply :ReportReply);
  answer @7 (instance :Text, incarnation :UInt64, request :UInt64) -> (answer :KeptAnswer);
  # Answers as soon as the receiver's directory has changed after `change`, or its state after
  # `revision`, or it follows another leader than `leader`, or after `waitMs`. All listings are sent
  # where `epoch` is not the receiver's. What the receiver was told by other replicas, after its
  # change `relayed`, is passed on in `relays` where the sender has not `heard` it itself.
  watch @8 (sender :Text, epoch :UInt64, change :UInt64, revision :UInt64, waitMs :UInt32,
            leader :Text, relayed :UInt64, heard :List(Heard))
    -> (epoch :UInt64, change :UInt64, listings :List(Listing), revision :UInt64,
        leader :Text, replicas :List(Neighbour), relayed :UInt64, relays :List(Listing));
  # Fails where the receiver does not lead.
  enter @9 (instance :Text, inFlight :List(InFlight), usage :List(Usage), retries :List(RetryUsage),
            crashes :CrashReport, relayAddress :Text)
    -> (placement :Placement);
}
