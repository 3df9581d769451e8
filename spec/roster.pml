/*
 * Confirmed views while the list of hosts changes: entries that count their majority over different rosters.
 *
 * Host 2 is replaced by host 3 on the platform's list, from OLD = {0,1,2} to NEW = {0,1,3}. Entries read the list at
 * different times. Two majorities of these rosters need not share a member, so
 *   - an entry that ran under the old list needs a majority of both rosters while other entries may still use the
 *     old one (ROSTER_HOLD, the largest lag of the list; the model covers this time only);
 *   - an entry that starts knows no earlier roster. It needs one vote more than a majority of an odd roster;
 *   - an entry that isn't on the list counts itself as one more member of the roster.
 *
 * The model follows two claimants: a, which uses the old list, and b, which has read the new one. Other entries only
 * vote. Of all possible views only the two that the claimants may confirm are modelled; an entry with a third view
 * reports to nobody. Reports and transitions are those of view.pml.
 *
 * Property (guarantee 2): two different views are never confirmed at the same moment.
 */
#define N 4
#define OWN_FRESH 1
#define STALE 2

#ifdef MUTATE_SHORT_TRANSITION
#define TRANSITION 1
#else
#define TRANSITION 2
#endif

mtype = { running, starting, unlisted }; /* what b knows besides the new list */

typedef Reports {
  byte age[N];
}

byte a, b;
mtype knows;
bit view[N];
byte transition[N];
Reports report[2]; /* of a and of b */

#define me(c) ((c == 0) -> a : b)
#define settled(i) (transition[i] == 0)
#define vote(c, j) ((me(c) == j || report[c].age[j] <= OWN_FRESH) -> 1 : 0)
#define votesOld(c) (vote(c, 0) + vote(c, 1) + vote(c, 2))
#define votesNew(c) (vote(c, 0) + vote(c, 1) + vote(c, 3))
#define votesAll(c) (vote(c, 0) + vote(c, 1) + vote(c, 2) + vote(c, 3))

#ifdef MUTATE_NO_ROSTER_HOLD
#define heldMajority true
#else
#define heldMajority (votesOld(1) >= 2)
#endif

#ifdef MUTATE_STARTING_NEEDS_PLAIN_MAJORITY
#define STARTING_NEEDS 2
#else
#define STARTING_NEEDS 3
#endif

#ifdef MUTATE_UNLISTED_IS_NOT_COUNTED
#define UNLISTED_NEEDS 2
#else
#define UNLISTED_NEEDS 3
#endif

/* b is confirmed by every roster that it holds. Implemented by Table.SetRoster and Table.ConfirmedUntil. */
#define enoughForB ((knows == running && votesNew(1) >= 2 && heldMajority) || \
  (knows == starting && votesNew(1) >= STARTING_NEEDS) || \
  (knows == unlisted && votesAll(1) >= UNLISTED_NEEDS))

#define confirmedA (settled(a) && votesOld(0) >= 2)
#define confirmedB (settled(b) && enoughForB)

inline checkOneView() {
  assert(!(confirmedA && confirmedB && view[a] != view[b]))
}

inline forget(i) {
  for (k : 0 .. N - 1) {
    if
    :: i == a -> report[0].age[k] = STALE
    :: else
    fi;
    if
    :: i == b -> report[1].age[k] = STALE
    :: else
    fi
  }
}

/* Action exchange: claimant c hears the view that j reports now. Implemented by Table.Observe. */
inline exchange(c, j) {
  if
  :: me(c) != j ->
     report[c].age[j] = ((settled(j) && view[j] == view[me(c)]) -> 0 : STALE)
  :: else
  fi
}

/* Actions changeView and restart. A claimant that restarts reads its own list again; b knows only the new one then. */
inline changeView(i) {
  view[i] = 1 - view[i];
  transition[i] = TRANSITION;
  forget(i)
}

inline restart(i) {
  transition[i] = TRANSITION;
  forget(i);
  if
  :: i == b && knows == running -> knows = starting
  :: else
  fi
}

/* Action tick. */
inline tick() {
  for (j : 0 .. N - 1) {
    if
    :: transition[j] > 0 -> transition[j]--
    :: else
    fi;
    for (k : 0 .. 1) {
      if
      :: report[k].age[j] < STALE -> report[k].age[j]++
      :: else
      fi
    }
  }
}

#define reset j = 0; k = 0

active proctype system() {
  byte j, k;

  if /* other pairs are symmetric or need more votes */
  :: d_step { a = 0; b = 1; knows = running }
  :: d_step { a = 2; b = 1; knows = running }
  :: d_step { a = 0; b = 3; knows = starting }
  :: d_step { a = 2; b = 3; knows = starting }
  :: d_step { a = 0; b = 3; knows = unlisted }
  :: d_step { a = 2; b = 3; knows = unlisted }
  fi;
  d_step {
    for (j : 0 .. N - 1) {
      transition[j] = TRANSITION;
      report[0].age[j] = STALE;
      report[1].age[j] = STALE
    }
    reset
  }
  do
  :: d_step { exchange(0, 0); checkOneView(); reset }
  :: d_step { exchange(0, 1); checkOneView(); reset }
  :: d_step { exchange(0, 2); checkOneView(); reset }
  :: d_step { exchange(0, 3); checkOneView(); reset }
  :: d_step { exchange(1, 0); checkOneView(); reset }
  :: d_step { exchange(1, 1); checkOneView(); reset }
  :: d_step { exchange(1, 2); checkOneView(); reset }
  :: d_step { exchange(1, 3); checkOneView(); reset }
  :: d_step { changeView(0); checkOneView(); reset }
  :: d_step { changeView(1); checkOneView(); reset }
  :: d_step { changeView(2); checkOneView(); reset }
  :: d_step { changeView(3); checkOneView(); reset }
  :: d_step { restart(0); checkOneView(); reset }
  :: d_step { restart(1); checkOneView(); reset }
  :: d_step { restart(2); checkOneView(); reset }
  :: d_step { restart(3); checkOneView(); reset }
  :: d_step { tick(); checkOneView(); reset }
  od
}
