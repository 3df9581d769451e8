/*
 * Lease in the log with fencing by offset, for steps of a version move.
 *
 * A lease record is valid from its offset if the lease before it has expired by the log's own time stamps. A step
 * names the offset of the lease under which it was written. Every reader folds the log in order and ignores a
 * step whose token is not the offset of the lease in force at that place of the log. A holder may pause between
 * its decision and its append, and the answer of an append may be lost, after which the holder appends it again or
 * decides anew. An append whose answer was lost may take effect later, after a newer decision. A step names the share
 * that it raises the move to; a step that doesn't raise the share is ignored, which makes a repeated one harmless.
 *
 * Properties (guarantee 4, and "every move is completed or rolled back"):
 *   a step accepted by the fold was written by the holder of the newest valid lease before it;
 *   a lease is taken over only after it has expired by the log's time stamps;
 *   a stopped move never gains share again;
 *   each decision of a holder takes effect at most once, and the share of a running move never falls.
 */
#define HOLDERS 2
#ifdef LARGE
#define RECORDS 7
#define MAX_TIME 4
#else
#define RECORDS 6
#define MAX_TIME 3
#endif
#define DURATION 2

mtype = { leaseRecord, stepRecord, stopRecord };

typedef Record {
  mtype kind;
  byte holder;
  byte token;     /* offset of the lease named by a step */
  byte stamp;     /* log's time */
  byte decision;  /* identity of the holder's decision; only the properties use it */
  byte target;    /* share that the step raises the move to */
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
int taken[HOLDERS]; /* decisions that took effect, as bits; only the properties use it */

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
     :: record.target <= share -> skip
#endif
     :: else ->
        assert(record.holder == leaseHolder);
        assert(!stopped);
        assert((taken[record.holder] & (1 << record.decision)) == 0);
        assert(record.target > share);
        taken[record.holder] = taken[record.holder] | (1 << record.decision);
        share = record.target
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
  record.decision = 0;
  record.target = 0
}

inline append(k, h, t, d, s) {
  if
  :: length < RECORDS ->
     record.kind = k;
     record.holder = h;
     record.token = t;
     record.stamp = logTime;
     record.decision = d;
     record.target = s;
     fold();
     clear();
     length++
  :: else
  fi
}

proctype leader(byte me) {
  byte token = 0;
  byte decision = 0;
  byte target = 0;
  byte lateToken = 0, lateDecision = 0, lateTarget = 0; /* an append that is still under way; lateDecision 0: none */
  bool retry;

  do
  :: length >= RECORDS -> break
  :: atomic { token == 0 && length < RECORDS -> append(leaseRecord, me, 0, 0, 0); token = (leaseHolder == me -> leaseOffset : 0) }
  :: atomic { leaseHolder != me && token != 0 && length < RECORDS -> token = 0 } /* has read the newer lease */
  :: atomic {
       lateDecision != 0 && length < RECORDS ->
       append(stepRecord, me, lateToken, lateDecision, lateTarget);
       lateToken = 0; lateDecision = 0; lateTarget = 0
     }
  :: atomic { token != 0 && length < RECORDS -> decision++; target = share + 1 };
     /* A pause may happen here: token and share are no longer compared with the fold before the append. */
     if
     :: atomic { lateDecision == 0 -> /* the answer is lost, and the append takes effect later */
          lateToken = token; lateDecision = decision; lateTarget = target
        }
     :: do
        :: atomic { append(stepRecord, me, token, decision, target) };
           if
           :: retry = true  /* the answer was lost; the record took effect */
           :: retry = false
           fi;
           if
           :: retry && length < RECORDS -> skip
           :: else -> break
           fi
        od
     fi;
     target = 0
  od
}

/* A stop fact reaches the log. It needs no lease. */
proctype stopper() {
  atomic { append(stopRecord, 0, 0, 0, 0) }
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
