/*
 * Lease in the log with fencing by offset, for steps of a version move.
 *
 * A lease record is valid from its offset if the lease before it has expired by the log's own time stamps. A step
 * names the offset of the lease under which it was written. Every reader folds the log in order and ignores a
 * step whose token is not the offset of the lease in force at that place of the log. A holder may pause between
 * its decision and its append, and the answer of an append may be lost, after which the holder appends it again.
 *
 * Properties (guarantee 4, and "every move is completed or rolled back"):
 *   a step accepted by the fold was written by the holder of the newest valid lease before it;
 *   a lease is taken over only after it has expired by the log's time stamps;
 *   a stopped move never gains share again;
 *   each decision of a holder takes effect at most once.
 */
#define HOLDERS 2
#ifdef LARGE
#define RECORDS 9
#define MAX_TIME 6
#else
#define RECORDS 7
#define MAX_TIME 4
#endif
#define DURATION 2

mtype = { leaseRecord, stepRecord, stopRecord };

typedef Record {
  mtype kind;
  byte holder;
  byte token;     /* offset of the lease named by a step */
  byte stamp;     /* log's time */
  byte decision;  /* identity of the holder's decision */
}

Record record; /* the newest record; the fold has applied the ones before it */
byte length = 1; /* offset 0 means "no lease" */
byte logTime = 0;

/* State of the fold; every reader computes the same. */
byte leaseOffset = 0;
byte leaseHolder = HOLDERS;
byte leaseStamp = 0;
byte share = 0;
bool stopped = false;
byte lastDecision[HOLDERS];

/* Applies the newest record. Implemented by configlog.Fold.Apply. */
inline fold() {
  if
  :: record.kind == leaseRecord ->
     if
#ifndef MUTATE_LEASE_TAKEN_EARLY
     :: leaseOffset != 0 && record.stamp < leaseStamp + DURATION && leaseHolder != record.holder -> skip
#endif
     :: else ->
        assert(leaseOffset == 0 || leaseHolder == record.holder || record.stamp >= leaseStamp + DURATION);
        leaseOffset = length;
        leaseHolder = record.holder;
        leaseStamp = record.stamp
     fi
  :: record.kind == stepRecord ->
     if
#ifndef MUTATE_NO_FENCING
     :: record.token != leaseOffset -> skip
#endif
#ifndef MUTATE_STEP_AFTER_STOP
     :: stopped -> skip
#endif
#ifndef MUTATE_NO_DEDUPLICATION
     :: record.decision <= lastDecision[record.holder] -> skip
#endif
     :: else ->
        assert(record.holder == leaseHolder);
        assert(!stopped);
        assert(record.decision > lastDecision[record.holder]);
        lastDecision[record.holder] = record.decision;
        share++
     fi
  :: record.kind == stopRecord ->
     stopped = true
  fi
}

/* Keeps the state space small. */
inline clear() {
  record.kind = leaseRecord;
  record.holder = 0;
  record.token = 0;
  record.stamp = 0;
  record.decision = 0
}

inline append(k, h, t, d) {
  if
  :: length < RECORDS ->
     record.kind = k;
     record.holder = h;
     record.token = t;
     record.stamp = logTime;
     record.decision = d;
     fold();
     clear();
     length++
  :: else
  fi
}

proctype leader(byte me) {
  byte token = 0;
  byte decision = 0;
  bool retry;

  do
  :: length >= RECORDS -> break
  :: atomic { token == 0 && length < RECORDS -> append(leaseRecord, me, 0, 0); token = (leaseHolder == me -> leaseOffset : 0) }
  :: atomic { leaseHolder != me && token != 0 && length < RECORDS -> token = 0 } /* has read the newer lease */
  :: token != 0 && length < RECORDS ->
     decision++;
     /* A pause may happen here: token is no longer compared with the fold before the append. */
     do
     :: atomic { append(stepRecord, me, token, decision) };
        if
        :: retry = true  /* the answer was lost; the record took effect */
        :: retry = false
        fi;
        if
        :: retry && length < RECORDS -> skip
        :: else -> break
        fi
     od
  od
}

/* A stop fact reaches the log. It needs no lease. */
proctype stopper() {
  atomic { append(stopRecord, 0, 0, 0) }
}

proctype clock() {
  do
  :: logTime < MAX_TIME -> logTime++
  :: else -> break
  od
}

init {
  atomic {
    run leader(0);
    run leader(1);
    run stopper();
    run clock()
  }
}
