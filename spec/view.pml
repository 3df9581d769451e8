/*
 * Confirmed views: one limit on a cold upstream, kept by entries whose views of each other differ.
 *
 * Entries of one data centre report a hash of their view to each other. An entry may send to a cold upstream
 * only while it is the owner in its own view and a majority of the roster reports the same view in reports that
 * are no older than OWN_FRESH. A member that changes its view reports no hash for TRANSITION.
 *
 * Time is counted in ticks. The age of a report is counted from the moment at which the receiver sent the
 * heartbeat that the report echoes, so a report is modelled as an exchange without delay: a slower exchange only
 * expires earlier. A stored report stands for a delayed one, because frames of one link keep their order.
 * The failure detector is arbitrary: a view may change to any set that holds the entry itself.
 *
 * A report of another view than the receiver's own need not be stored: when the receiver's view changes to that
 * one, its transition outlasts the report.
 *
 * Rosters that differ are in roster.pml.
 *
 * Property (guarantee 2): at no moment may two entries send to the same cold upstream.
 */
#define N 3
#define MAJORITY 2
#define OWN_FRESH 1

#ifdef MUTATE_SHORT_TRANSITION
#define TRANSITION 1
#else
#define TRANSITION 2
#endif

#ifdef MUTATE_NO_MAJORITY
#define NEEDED 1
#else
#define NEEDED MAJORITY
#endif

#define STALE 2 /* age of a report that no longer counts; ages stop here */

typedef Reports {
  byte age[N]; /* STALE: no report, a report of another view, or one too old to count */
}

byte view[N];       /* bit set of members; never 0, since an entry is in its own view */
byte transition[N]; /* ticks until the entry reports its view again */
Reports report[N];  /* report[i].age[j]: age of the report in which j supported the view of i */

#define owner(v) ((v & 1) -> 0 : ((v & 2) -> 1 : 2))
#define settled(i) (transition[i] == 0)

#ifdef MUTATE_NO_FRESHNESS
#define AGES_PER_TICK 0
#else
#define AGES_PER_TICK 1
#endif

#define vote(i, j) ((i == j || report[i].age[j] <= OWN_FRESH) -> 1 : 0)
#define confirmed(i) (settled(i) && vote(i, 0) + vote(i, 1) + vote(i, 2) >= NEEDED)
#define mayGrantCold(i) (owner(view[i]) == i && confirmed(i))

/* A host runs one process at a time. With two, each may support another view, and the host votes twice. The rule that
 * a receiver takes a new incarnation only when the old one has been silent for OWN_FRESH doesn't replace this: it keeps
 * two processes from replacing each other at one receiver, while other receivers may have taken the other one. */
#ifdef MUTATE_TWO_PROCESSES_ON_A_HOST
#define otherProcess(j) (j == 2)
#else
#define otherProcess(j) false
#endif

/* Action exchange: entry i hears the view that j reports now. Implemented by Table.Observe. */
inline exchange(i, j) {
  report[i].age[j] = (((settled(j) && view[j] == view[i]) || otherProcess(j)) -> 0 : STALE)
}

inline forget(i) {
  for (k : 0 .. N - 1) {
    report[i].age[k] = STALE
  }
}

/* Action changeView: the failure detector of i changes its mind. Implemented by Table.Tick and Table.Observe. */
inline changeView(i, v) {
  if
  :: view[i] != v ->
     view[i] = v;
     transition[i] = TRANSITION;
     forget(i)
  :: else
  fi
}

/* Action restart: a new incarnation has no reports and starts in transition.
 * Its first view is arbitrary, for example from a list of hosts. Implemented by membership.New. */
inline restart(i, v) {
  view[i] = v;
#ifdef MUTATE_RESTART_WITHOUT_TRANSITION
  transition[i] = 0;
#else
  transition[i] = TRANSITION;
#endif
  forget(i)
}

/* Action tick: time passes for every entry, paused ones included. */
inline tick() {
  for (i : 0 .. N - 1) {
    if
    :: transition[i] > 0 -> transition[i]--
    :: else
    fi;
    for (k : 0 .. N - 1) {
      if
      :: report[i].age[k] < STALE ->
         report[i].age[k] = report[i].age[k] + AGES_PER_TICK
      :: else
      fi
    }
  }
}

/* Guarantee 2. */
inline checkOneHolder() {
  assert(!(mayGrantCold(0) && mayGrantCold(1)));
  assert(!(mayGrantCold(0) && mayGrantCold(2)));
  assert(!(mayGrantCold(1) && mayGrantCold(2)))
}

active proctype system() {
  byte i, j, k, v;

  d_step {
    for (j : 0 .. N - 1) {
      view[j] = 1 << j;
      transition[j] = TRANSITION;
      forget(j)
    }
    i = 0; j = 0; k = 0
  }
  do
  :: atomic {
       select(i : 0 .. N - 1);
       select(j : 0 .. N - 1);
       if
       :: i != j -> d_step { exchange(i, j); checkOneHolder(); i = 0; j = 0; k = 0 }
       :: else -> i = 0; j = 0
       fi
     }
  :: atomic {
       select(i : 0 .. N - 1);
       select(v : 1 .. 7);
       if
       :: (v & (1 << i)) != 0 -> d_step { changeView(i, v); checkOneHolder(); i = 0; v = 0; k = 0 }
       :: else -> i = 0; v = 0
       fi
     }
  :: atomic {
       select(i : 0 .. N - 1);
       select(v : 1 .. 7);
       if
       :: (v & (1 << i)) != 0 -> d_step { restart(i, v); checkOneHolder(); i = 0; v = 0; k = 0 }
       :: else -> i = 0; v = 0
       fi
     }
  :: d_step { tick(); checkOneHolder(); i = 0; k = 0 }
  od
}
