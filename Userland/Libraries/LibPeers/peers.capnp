@0xd7a1f0c35b9e2846;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("PeerWire");

# State of an engine as last read by its agent. A newer report replaces an older one.
struct EngineReport {
  upstream @0 :Text;          # IP:port where the engine accepts calls
  weightsVersion @1 :Int64;   # complete weights loaded, 0 when none
  running @2 :UInt32;
  waiting @3 :UInt32;
  kvUsed @4 :UInt64;          # KV cache in use, in tokens times layers
  kvTotal @5 :UInt64;
  pace @6 :Float64;           # factor by which the engine is slower than its operator states; 1 is as stated
  switching @7 :Bool;         # a load command is running or about to be sent
  born @8 :Int64;             # wall time in ms of the engine's start
}

struct NodeState {
  name @0 :Text;
  rpcAddress @1 :Text;
  clientAddress @2 :Text;     # entries: where clients connect
  ready @3 :Bool;
  leaving @4 :Bool;
  revisions @5 :List(Int64);  # store revision of the last change, by kind of object
  hasEngine @6 :Bool;
  engine @7 :EngineReport;
  failureDomain @8 :Text;
  heartbeat @9 :UInt32;       # entries: grows while the process runs
  openSlots @10 :UInt16;      # entries: calls that the engines which the entry owns can take now
  # What an entry tells another one about the rest, in columns of equal length.
  sightedEntries @11 :List(UInt32);     # low 32 bits of the hash of each name
  sightedHeartbeats @12 :List(UInt32);
  sightedStates @13 :List(UInt16);      # open slots in the low byte, 0x100 ready, 0x200 leaving, 0x400 store lost
  introduced @14 :List(NodeState);      # entries among the sighted ones that the store does not list
  storeLost @15 :Bool;        # entries: the store does not answer this process
  # Between entries: crashes learned of lately, and parts of their prompts that are known to be sound.
  crashes @16 :List(CrashReport);
  soundParts @17 :List(SoundPartReport);
  rateLimits @18 :List(RateLimitReport);  # between entries: limits of which the sender had news lately
  eras @19 :List(Int64);      # era of the store to which each of `revisions` belongs; missing ones are 0
  leavingUpstreams @20 :List(LeavingUpstream);  # between entries: those of which others may not know yet
  weightsTargets @21 :List(WeightsTargetReport);  # weights named lately, also those that newer ones have replaced
  # Ages of the begin and the end of a period in which the store answered without an absence in which leases can lapse; both 0 when unknown.
  storeSteadyFromMs @22 :UInt32;
  storeSteadyToMs @23 :UInt32;
}

struct CrashReport {
  upstream @0 :Text;          # id of the instance
  ageMs @1 :UInt32;
  suspects @2 :List(SuspectReport);
}

# A call that may have crashed an upstream.
struct SuspectReport {
  prompt @0 :UInt64;          # hash of the last part of its prompt
  sentBeforeMs @1 :UInt32;    # from its send to the crash
  parts @2 :List(Text);       # shared parts of its prompt, in order
}

# A limit on calls that an upstream has named in its responses.
struct RateLimitReport {
  upstream @0 :Text;          # id of the instance
  callsPerSecond @1 :Float64; # negative: it names none any more
  ageMs @2 :UInt32;
}

# An upstream that has said in a response that it is leaving.
struct LeavingUpstream {
  upstream @0 :Text;          # id of the instance
  startTime @1 :Int64;        # wall time in ms of the start of the incarnation that leaves, 0 when unknown
}

# A version of a model's weights that the operator has named.
struct WeightsTargetReport {
  model @0 :Text;
  version @1 :Int64;
  ageMs @2 :UInt32;           # since the sender learned of it
  assumed @3 :Bool;           # named before the sender started, and nobody has told it how long ago
}

# A part of a prompt with which an upstream has written a response.
struct SoundPartReport {
  part @0 :Text;
  ageMs @1 :UInt32;
}

struct StoredObject {
  name @0 :Text;
  spec @1 :Data;
  lapsed @2 :Bool;            # not in the store in this state; in force for a grace time
  revision @3 :Int64;         # of its last change
  outOfDate @4 :Bool;         # in the store, which came back from an older copy, but not in force for a grace time
  lapsedLeftMs @5 :UInt32;    # what is left of the grace time of `lapsed` or `outOfDate`; 0 from an older build, which means all of it
}

# Asks for a slot (`place` on the wire) at an upstream that the other entry owns.
struct PlaceRequest {
  service @0 :Text;
  promptTokens @1 :Int64;
  priority @2 :Int32;         # 0 is the most urgent
  returning @3 :Bool;
  regions @4 :List(Text);     # allowed ones; empty for any
  excluded @5 :List(Text);    # upstreams that must not receive the call
  waitMs @6 :UInt32;          # how long the request may wait for a slot; 0 to be answered at once
  account @7 :Text;           # client account of the call; empty without one
}

# A slot at an upstream, held until the last reference to it is dropped or the connection ends.
interface Place {
  promptRead @0 ();
}

# Calls between the processes of one deployment, served on their RPC addresses.
interface FleetPeer {
  exchange @0 (state :NodeState) -> (state :NodeState);
  # All objects of a kind that the peer knows, or revision 0 when none has changed after the revision `newerThan` of the era `newerThanEra`.
  # `agentPart` leaves out what only entries use.
  objects @1 (kind :UInt16, newerThan :Int64, agentPart :Bool, newerThanEra :Int64) -> (revision :Int64, objects :List(StoredObject), era :Int64);
  # Text of the manifest of a version; empty when the peer does not have it. With an empty model it asks for nothing and is a keep-alive: a caller that holds
  # slots over a connection sends one at an interval, and the owner takes the slots back when they cease. Every build of the peer answers it.
  manifest @2 (model :Text, version :Int64) -> (text :Text);
  # One bit per chunk, lowest bit first; empty when the peer holds nothing of the version.
  heldChunks @3 (model :Text, version :Int64) -> (held :Data);
  # Empty when the peer does not hold the chunk or when too many bytes already wait for upload bandwidth.
  chunk @4 (model :Text, version :Int64, index :UInt32) -> (data :Data);
  # Returns an empty upstream when no slot is free, after up to `waitMs` if the owner lets requests wait; the caller withdraws by dropping the call. `weightsVersion` is the version that the engine has loaded, 0 when unknown.
  place @5 (request :PlaceRequest) -> (upstream :Text, place :Place, weightsVersion :Int64);
}
