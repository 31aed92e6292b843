@0xb1d0c6f2a7e94835;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("Wire");

enum Role {
  entry @0;
  agent @1;
}

enum MemberStatus {
  alive @0;
  leaving @1;
  suspect @2;
  dead @3;
}

# Progress of an agent's engine towards the weights that the configuration names.
enum ServingState {
  none @0;       # nothing loaded or not verified
  fetching @1;   # chunks are being fetched
  ready @2;      # all chunks verified; the load waits for the rollout wave or for calls to finish
  loading @3;    # load command sent, result not verified yet
  serving @4;    # the engine reported exactly weightsRoot after the command
}

# Only the process that it describes changes it, except for the status; a greater (instance, sequence) replaces a smaller one.
struct MemberRecord {
  name @0 :Text;
  rpcAddress @1 :Text;
  httpAddress @2 :Text;
  role @3 :Role;
  region @4 :Text;
  failureDomain @5 :Text;
  instance @6 :UInt64;       # wall time in ms at which the process started
  sequence @7 :UInt64;       # increases with each change of this record
  status @8 :MemberStatus;
  revision @9 :UInt64;       # configuration revision in force
  service @10 :Text;         # agents: the service of their upstream
  servingState @11 :ServingState;
  weightsRoot @12 :Text;     # agents: root that the engine was verified to serve, empty when none
  targetRoot @13 :Text;      # agents: root that is being fetched or loaded, empty when none
  chunksHeld @14 :UInt32;
  chunksTotal @15 :UInt32;
  callsSinceSwitch @16 :UInt32;   # calls completed or failed since weightsRoot was switched, bounded at 10000
  errorsSinceSwitch @17 :UInt32;
  warm @18 :Bool;            # ramp finished
}

# A provisional restriction that keeps calls away from a failure domain or upstream, issued while the store is unreachable.
struct Restriction {
  id @0 :Text;
  failureDomain @1 :Text;    # exactly one of failureDomain and upstream is set
  upstream @2 :Text;
  author @3 :Text;
  reason @4 :Text;
  expiresAtMs @5 :UInt64;    # wall time
}

struct Credential {
  keyId @0 :Text;
  process @1 :Text;
  timeMs @2 :UInt64;         # wall time
  nonce @3 :Text;
  mac @4 :Text;              # HMAC-SHA-256 over keyId, process, timeMs, nonce and the target address, in hex
}

interface Door {
  login @0 (credential :Credential) -> (node :Node);
}

struct ExchangeRequest {
  from @0 :MemberRecord;
  tableHash @1 :UInt64;      # hash over (name, instance, sequence, status) of all records
  revision @2 :UInt64;
  updates @3 :List(MemberRecord);
  wantFull @4 :Bool;
  restrictions @5 :List(Restriction);
}

struct ExchangeReply {
  from @0 :MemberRecord;
  tableHash @1 :UInt64;
  revision @2 :UInt64;
  updates @3 :List(MemberRecord);
  restrictions @4 :List(Restriction);
}

# Load of an upstream as measured by its agent; part of every reply to a call.
struct LoadHint {
  slots @0 :UInt32;          # calls that the ramp allows to run concurrently now
  inUse @1 :UInt32;
  queued @2 :UInt32;
  warm @3 :Bool;
}

enum CallKind {
  engine @0;
  plain @1;
}

struct Header {
  name @0 :Text;
  value @1 :Text;
}

struct CallRequest {
  requestId @0 :Text;
  kind @1 :CallKind;
  service @2 :Text;
  account @3 :Text;
  accountWeight @4 :UInt32;
  priority @5 :UInt32;       # greater values are more urgent
  deadlineMs @6 :UInt64;     # time left when sent, so that the clocks of hosts need not agree
  weightsRoot @7 :Text;      # engines: root of the weights that must serve the call
  revision @8 :UInt64;
  method @9 :Text;
  path @10 :Text;
  headers @11 :List(Header);
  body @12 :Data;
  stream @13 :Bool;
  claimNonce @14 :Text;      # calls that may not be repeated: an agent runs each nonce once
  queueAllowed @15 :Bool;    # false: refuse instead of queueing, so that the entry can try another upstream
}

enum CallResult {
  complete @0;       # the whole response was delivered
  refused @1;        # provably not started
  failed @2;         # may have started; the response is not complete
}

enum RefusalReason {
  none @0;
  overloaded @1;
  draining @2;
  outOfService @3;
  wrongWeights @4;
  notVerified @5;
  deadline @6;
  duplicateClaim @7;
  unreachable @8;
  shareExceeded @9;
}

struct CallReply {
  result @0 :CallResult;
  reason @1 :RefusalReason;
  message @2 :Text;
  load @3 :LoadHint;
  retryAfterMs @4 :UInt32;
  fingerprint @5 :Text;      # engines: the fingerprint that every part of the response carried
}

# Receives the response of a call in order: start() once, then write() for each part of the body.
interface AnswerSink {
  start @0 (status :UInt16, headers :List(Header)) -> ();
  write @1 (data :Data) -> ();
}

interface Node {
  exchange @0 (request :ExchangeRequest) -> (reply :ExchangeReply);
  # Announces an accepted revision. The receiver applies it when it is greater than its own and its digest matches. Returns the receiver's revision in force.
  offerRevision @1 (revision :UInt64, document :Data) -> (revision :UInt64);
  fetchRevision @2 () -> (revision :UInt64, document :Data);
  call @3 (request :CallRequest, sink :AnswerSink) -> (reply :CallReply);
  # Bitmap of held chunks, bit i of byte i/8; empty when the root is unknown. manifest is set only with `wantManifest`.
  chunkMap @4 (root :Text, wantManifest :Bool) -> (bitmap :Data, manifest :Data);
  fetchChunk @5 (root :Text, index :UInt32) -> (data :Data);
}
