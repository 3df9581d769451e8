/*
 * Entries that lead at the same time on the users' platform, and which of them may draw on the bounds that hold over all
 * entries (rate of cold upstreams, share of a version on trial).
 *
 * There is no lock: an entry that is cut off goes on leading. A follower follows one leader at a time. It gives a leader up
 * after DETECT ticks of silence, or at once when the link is reset, which both ends see. A leader counts a follower for COUNT
 * ticks after its last frame, and is restricted while it counts less than half of the entries, itself included. The worst
 * case is modelled: every leader leads all the time, any link may be cut for any time, and a follower may turn to any leader.
 *
 * Property: at most two leaders are not restricted, so each may use half of a bound.
 *
 * One tick stands for 0.45 s (coordinator.activeLeaderTimeout); coordinator.majorityTimeout is below two of them.
 */
#define LEADERS 3
#define FOLLOWERS 2
#define ENTRIES (LEADERS + FOLLOWERS)
#define DETECT 2
#ifdef MUTATE_LONG_COUNT
#define COUNT (2 * DETECT)
#else
#define COUNT (2 * DETECT - 1)
#endif
#define NONE LEADERS
#define FORGOTTEN (COUNT + 1)

byte follows[FOLLOWERS];                /* the leader of each follower, or NONE */
byte silent[FOLLOWERS];                 /* ticks since the last frame of that leader */
byte heard[LEADERS * FOLLOWERS];        /* ticks since the leader's last frame of the follower, FORGOTTEN when not counted */

#define AGE(l, f) heard[(l) * FOLLOWERS + (f)]

inline giveUp(f) {
  follows[f] = NONE;
  silent[f] = 0
}

/* A frame goes both ways, or the link is cut for this tick. */
inline passTick(f) {
  if
  :: follows[f] == NONE -> skip
  :: follows[f] != NONE -> AGE(follows[f], f) = 0; silent[f] = 0
  :: follows[f] != NONE ->
     silent[f]++;
     if
     :: silent[f] >= DETECT -> giveUp(f)
     :: else -> skip
     fi
  fi
}

/* Both ends see a reset. */
inline reset(f) {
  if
  :: follows[f] != NONE -> AGE(follows[f], f) = FORGOTTEN; giveUp(f)
  :: else -> skip
  fi
}

inline join(f) {
  if
  :: follows[f] == NONE ->
     if
     :: follows[f] = 0
     :: follows[f] = 1
     :: follows[f] = 2
     fi;
     silent[f] = 0;
     AGE(follows[f], f) = 0
#ifdef MUTATE_LEAVE_AT_ONCE
  :: follows[f] != NONE -> giveUp(f)
#endif
  :: else -> skip
  fi
}

byte i, j, counted, unrestricted;

/* A tick is over: ages grow, and the property is checked. */
inline endTick() {
  i = 0;
  do
  :: i < LEADERS * FOLLOWERS ->
     if
     :: heard[i] < FORGOTTEN -> heard[i]++
     :: else -> skip
     fi;
     i++
  :: else -> break
  od
}

inline check() {
  unrestricted = 0;
  i = 0;
  do
  :: i < LEADERS ->
     counted = 1;
     j = 0;
     do
     :: j < FOLLOWERS ->
        if
        :: AGE(i, j) < FORGOTTEN -> counted++
        :: else -> skip
        fi;
        j++
     :: else -> break
     od;
     if
#ifdef MUTATE_NO_MAJORITY
     :: true -> unrestricted++
#else
     :: 2 * counted >= ENTRIES -> unrestricted++
     :: else -> skip
#endif
     fi;
     i++
  :: else -> break
  od;
  assert(unrestricted <= 2)
}

init {
  d_step {
    i = 0;
    do
    :: i < FOLLOWERS -> follows[i] = NONE; i++
    :: else -> break
    od;
    i = 0;
    do
    :: i < LEADERS * FOLLOWERS -> heard[i] = FORGOTTEN; i++
    :: else -> break
    od
  }
  do
  :: true -> atomic { join(0); check() }
  :: true -> atomic { join(1); check() }
  :: true -> atomic { reset(0); check() }
  :: true -> atomic { reset(1); check() }
  :: true -> atomic { passTick(0); passTick(1); endTick(); check() }
  od
}
