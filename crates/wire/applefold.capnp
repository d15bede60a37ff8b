@0xd1f2a6b80c4e9a37;
# Messages between the processes. Every peer port serves `Gate`; a peer that
# proves that it knows the cluster secret is given a `Session`.

struct Pair {
  name @0 :Text;
  value @1 :Text;
}

struct Refusal {
  code @0 :UInt16;
  # 0 for a permanent refusal, which a retry cannot change.
  retryAfterMicros @1 :UInt64;
}

struct Confirmation {
  # The sender's configuration and how recently the platform confirmed it.
  revision @0 :UInt64;
  # Time since the platform last confirmed that revision to any process.
  ageMicros @1 :UInt64;
  # Whether the sender itself reaches a quorum of the entries that lets it keep serving.
  # Never forwarded on behalf of another process.
  reachHolds @2 :Bool;
}

struct TeamUse {
  team @0 :Text;
  tokens @1 :UInt64;
}

struct PoolUse {
  pool @0 :Text;
  prefillTokens @1 :UInt64;
  decodeTokens @2 :UInt64;
}

struct Load {
  running @0 :UInt32;
  waiting @1 :UInt32;
  waitingTokens @2 :UInt64;
  freeTokens @3 :UInt64;
  prefillRate @4 :UInt64;
  decodeRate @5 :UInt64;
  draining @6 :Bool;
  healthy @7 :Bool;
}

struct Heartbeat {
  instance @0 :Text;
  domain @1 :Text;
  confirmation @2 :Confirmation;
  load @3 :Load;
  teams @4 :List(TeamUse);
  # Reports of requests that were running when backend servers crashed.
  suspects @5 :List(Suspect);
  stopping @6 :Bool;
  # The demand on the pools at the sender in the last heartbeat interval.
  pools @7 :List(PoolUse);
  # The serial number of the interval that `teams` and `pools` cover.
  period @8 :UInt64;
}

struct Suspect {
  fingerprint @0 :UInt64;
  # Empty if the request completed.
  backend @1 :Text;
  ageMicros @2 :UInt64;
}

struct Dispatch {
  request @0 :Text;
  attempt @1 :UInt64;
  team @2 :Text;
  # The ID of the caller key; the key itself never leaves the entry.
  key @3 :Text;
  service @4 :Text;
  confirmation @5 :Confirmation;
  # Time left until the first byte of the response is due.
  deadlineMicros @6 :UInt64;
  traceparent @7 :Text;
  method @8 :Text;
  path @9 :Text;
  headers @10 :List(Pair);
  body @11 :Data;
  stream @12 :Bool;
  repeatable @13 :Bool;
  promptTokens @14 :UInt64;
  answerTokens @15 :UInt64;
  priority @16 :UInt8;
  # The number of generated tokens that the caller already has.
  resumeTokens @17 :UInt64;
  model @18 :Text;
  # Reports of backend servers that crashed while they ran this request.
  suspects @19 :List(Suspect);
}

struct AnswerHead {
  request @0 :Text;
  attempt @1 :UInt64;
  status @2 :UInt16;
  headers @3 :List(Pair);
}

struct AnswerPart {
  request @0 :Text;
  attempt @1 :UInt64;
  # The offset of `data` in the response body.
  offset @2 :UInt64;
  data @3 :Data;
}

interface AnswerSink {
  head @0 (head :AnswerHead) -> ();
  part @1 (part :AnswerPart) -> ();
}

struct AnswerEnd {
  request @0 :Text;
  attempt @1 :UInt64;
  load @6 :Load;
  confirmation @7 :Confirmation;
  # Whether the backend server crashed while it ran the request.
  crashed @8 :Bool;
  union {
    # The response is complete; the size of its body.
    whole @2 :UInt64;
    # The backend server did not start the request.
    notRun @3 :Refusal;
    # The response was truncated at this offset of its body.
    broken @4 :UInt64;
    # The backend server may have run the request; no response arrived.
    unknown @5 :Refusal;
  }
}

struct Order {
  id @0 :Text;
  scope @1 :Text;
  holder @2 :Text;
  fencing @3 :UInt64;
  # Time within which the order must be executed or refused.
  deadlineMicros @4 :UInt64;
  # The order as JSON, serialized by the core library.
  body @5 :Text;
}

struct OrderReply {
  union {
    done @0 :Void;
    refused @1 :Refusal;
  }
}

struct ClaimAsk {
  key @0 :Text;
  team @1 :Text;
  fingerprint @2 :UInt64;
  request @3 :Text;
}

struct ClaimVerdict {
  union {
    granted @0 :Void;
    refused @1 :Refusal;
    kept @2 :KeptAnswer;
  }
}

struct KeptAnswer {
  status @0 :UInt16;
  body @1 :Data;
}

struct ClaimReport {
  key @0 :Text;
  team @1 :Text;
  request @2 :Text;
  union {
    answered @3 :KeptAnswer;
    notRun @4 :Void;
    unknown @5 :Void;
  }
}

struct UsageFigure {
  window @0 :UInt64;
  team @1 :Text;
  service @2 :Text;
  promptTokens @3 :UInt64;
  answerTokens @4 :UInt64;
  requests @5 :UInt64;
}

struct UsageBatch {
  # The meter that counted. Its figures are running totals, so a duplicate is harmless.
  meter @0 :Text;
  figures @1 :List(UsageFigure);
}

struct ConfigUpdate {
  # The changes up to `revision` as JSON, serialized by the core library.
  revision @0 :UInt64;
  body @1 :Text;
}

interface Gate {
  challenge @0 () -> (nonce :Data);
  open @1 (instance :Text, nonce :Data, proof :Data) -> (proof :Data, session :Session);
}

interface Session {
  heartbeat @0 (beat :Heartbeat) -> (beat :Heartbeat);
  dispatch @1 (dispatch :Dispatch, sink :AnswerSink) -> (end :AnswerEnd);
  configure @2 (update :ConfigUpdate) -> (revision :UInt64);
  order @3 (order :Order) -> (reply :OrderReply);
  claim @4 (ask :ClaimAsk) -> (verdict :ClaimVerdict);
  settle @5 (report :ClaimReport) -> (taken :Bool);
  # The figures that the aggregator `keeper` lacks. `taken` is the last mark that it
  # received; returning it acknowledges the batch that came with it.
  meter @6 (keeper :Text, taken :UInt64) -> (batch :UsageBatch, mark :UInt64);
  # All figures that an aggregator has from a window on.
  collect @7 (fromWindow :UInt64) -> (batches :List(UsageBatch));
  # The changes from the revision `known` to the receiver's revision.
  fetch @8 (known :UInt64) -> (update :ConfigUpdate);
}
