/*
 * Configuration as a fold of the log: concurrent operators, lost answers, expiry with snapshots, log outages and
 * entries that start with nothing.
 *
 * A change record holds its change ID and the version (offset) it was made from. The fold accepts a record whose
 * base is the current version and whose change ID is new. A snapshot record holds the version and the IDs seen.
 * A reader without state starts at a snapshot or at the first record ever written. Records before a snapshot may
 * expire. While the log is out, an entry without state asks its peers and needs answers of a majority of the
 * roster that are ready; it takes the highest version.
 *
 * "In force" is claimed for a version when all entries that the claimant believes alive hold it, and these are a
 * majority of the roster. Members that the claimant can't reach may be behind.
 *
 * Properties (guarantee 10):
 *   every reader decides like the reader that saw all records (agreement);
 *   a change takes effect at most once, and no accepted change is lost under a concurrent one;
 *   an entry that serves never serves a version older than one claimed in force when it became ready;
 *   an entry's version never decreases.
 */
#define ENTRIES 3
#define MAJORITY 2
#define OPERATORS 2
#ifdef LARGE
#define RECORDS 6
#define TRIES 2
#define REPLACEMENTS 2
#else
#define RECORDS 5
#define TRIES (2 - me) /* only operator 0 appends again */
#define REPLACEMENTS 1
#endif

mtype = { change, snapshot };

typedef Record {
  mtype kind;
  byte base;   /* change: version it was made from; snapshot: version it holds */
  byte id;     /* change: bit of the change ID; snapshot: set of IDs seen */
  byte through; /* snapshot: last offset that it includes; its writer may have been behind the log's end */
}

Record log[RECORDS];
byte length = 1;     /* offsets start at 1 */
byte oldest = 1;     /* records before it have expired */
bool logUp = true;

/* Fold of a reader that has seen every record. */
byte trueVersion = 0;
byte trueSeen = 0;
byte accepted[OPERATORS];
byte versionAt[RECORDS]; /* version after the record at this offset */

byte version[ENTRIES];
byte seen[ENTRIES];
byte next[ENTRIES];      /* next offset to read; 0: no state */
bool ready[ENTRIES];
byte inForce = 0;

#define isNew(ids, r) ((ids & log[r].id) == 0)

#ifdef MUTATE_NO_BASE_CHECK
#define accepts(v, ids, r) (log[r].kind == change && isNew(ids, r))
#else
#ifdef MUTATE_NO_DEDUPLICATION
#define accepts(v, ids, r) (log[r].kind == change && (log[r].base == v || !isNew(ids, r)))
#else
#define accepts(v, ids, r) (log[r].kind == change && log[r].base == v && isNew(ids, r))
#endif
#endif

inline append(k, b, i) {
  log[length].kind = k;
  log[length].base = b;
  log[length].id = i;
  if
  :: accepts(trueVersion, trueSeen, length) ->
     assert(log[length].base == trueVersion); /* otherwise an accepted change would be overwritten unseen */
     trueVersion = length;
     trueSeen = trueSeen | i;
     accepted[i - 1]++;
     assert(accepted[i - 1] <= 1)
  :: else
  fi;
  versionAt[length] = trueVersion;
  length++
}

/* Action read: an entry reads its next record. Implemented by Fold.Apply. */
inline read(e) {
  if
  :: accepts(version[e], seen[e], next[e]) ->
     assert(next[e] > version[e]);
     version[e] = next[e];
     seen[e] = seen[e] | log[next[e]].id
  :: else
  fi;
  assert(version[e] == versionAt[next[e]]);
  next[e]++
}

/* A snapshot can be started from when all records after the ones it includes are kept. */
#ifdef MUTATE_START_AFTER_SNAPSHOT
#define usable(o) (log[o].kind == snapshot)
#else
#define usable(o) (log[o].kind == snapshot && log[o].through + 1 >= oldest)
#endif

/* Action start: an entry without state finds a place to start reading. Implemented by Follower. */
inline start(e, o) {
  if
  :: oldest == 1 -> next[e] = 1
  :: else ->
     o = oldest;
#ifdef MUTATE_START_WITHOUT_SNAPSHOT
     next[e] = o
#else
     do
     :: o < length && !usable(o) -> o++
     :: else -> break
     od;
     if
     :: o < length ->
        version[e] = log[o].base;
        seen[e] = log[o].id;
#ifdef MUTATE_START_AFTER_SNAPSHOT
        next[e] = o + 1
#else
        next[e] = log[o].through + 1
#endif
     :: else
     fi
#endif
  fi
}

/* Action copyFromPeers: the log is out; e takes the newest state of a majority of ready peers. e itself doesn't count,
 * since it knows nothing; with three entries, counting it is the same as taking the answer of one peer. The model copies
 * at one moment. In Follower.Offer the answers come within peerAnswerTTL of each other, and the version is compared with
 * the one in force when the first of them was given. */
inline copyFromPeers(e, answers, p, best) {
  answers = 0;
  best = ENTRIES;
  for (p : 0 .. ENTRIES - 1) {
    if
    :: p != e && ready[p] -> /* reachable */
       answers++;
       if
       :: best == ENTRIES -> best = p
       :: best != ENTRIES && version[p] > version[best] -> best = p
       :: else
       fi
    :: true /* not reachable, or not ready */
    fi
  }
#ifdef MUTATE_ONE_PEER_IS_ENOUGH
  if
  :: answers >= 1 ->
#else
  if
  :: answers >= MAJORITY ->
#endif
     version[e] = version[best];
     seen[e] = seen[best];
     next[e] = next[best];
     ready[e] = true;
     assert(version[e] >= inForce)
  :: else
  fi
}

#define holds(p, v) ((ready[p] && version[p] >= v) -> 1 : 0)

/*
 * Action claim: all entries that the claimant reaches hold v, and they are a majority. Implemented by
 * membership.Table.LowestVersion.
 * The claimant may reach any set of entries, so the highest version held by a majority is claimed at once: a
 * later or lower claim only weakens the properties.
 */
inline claim() {
  d_step {
    for (v : 1 .. RECORDS - 1) {
      if
      :: v > inForce && holds(0, v) + holds(1, v) + holds(2, v) >= MAJORITY -> inForce = v
      :: else
      fi
    };
    v = 0
  }
}

proctype entry(byte e) {
  byte a, p, b, v;
  do
  :: atomic { logUp && next[e] == 0 -> start(e, a); a = 0 }
  :: atomic { logUp && next[e] != 0 && next[e] < length && next[e] >= oldest -> read(e); claim() }
  :: atomic { logUp && next[e] != 0 && next[e] == length && !ready[e] -> ready[e] = true; assert(version[e] >= inForce); claim() }
  :: atomic { next[e] != 0 && next[e] < oldest -> /* expired while reading: start over from a snapshot, never lower */
       b = version[e];
       next[e] = 0;
       start(e, a);
       assert(next[e] == 0 || version[e] >= b);
       a = 0; b = 0
     }
  :: atomic { !logUp && next[e] == 0 -> copyFromPeers(e, a, p, b); claim(); a = 0; p = 0; b = 0 }
  od
}

/* Action restart: a host is replaced; the entry starts with nothing. Bounded to keep the state space small. */
proctype replacements() {
  byte e, n;
  do
  :: n < REPLACEMENTS ->
     atomic {
       select(e : 0 .. ENTRIES - 1);
       ready[e] = false;
       next[e] = 0;
       version[e] = 0;
       seen[e] = 0;
       n++;
       e = 0
     }
  :: n == REPLACEMENTS -> break
  od
}

proctype operator(byte me) {
  byte base;
  byte tries = 0;
  atomic { logUp -> base = trueVersion };
  do
  :: tries < TRIES ->
     atomic { logUp && length < RECORDS -> append(change, base, me + 1); tries++ }; /* the answer may be lost: append again */
  :: break
  od
}

/* Action snapshot and expire. Implemented by Follower and by the platform's retention. */
proctype retention() {
  byte v, ids, last;
  atomic {
    logUp && length > 1 -> /* the writer reads its state */
    v = trueVersion;
    ids = trueSeen;
    last = length - 1
  };
  atomic {
    logUp && length < RECORDS ->
    log[length].through = last;
    append(snapshot, v, ids)
  };
  atomic { oldest = last + 1; v = 0; ids = 0; last = 0 }
}

proctype outage() {
#ifdef LARGE
  logUp = false;
  logUp = true;
#endif
  logUp = false
}

init {
  atomic {
    run entry(0);
    run entry(1);
    run entry(2);
    run operator(0);
    run operator(1);
    run retention();
    run replacements();
    run outage()
  }
}
