/*
 * Requests that a cold upstream gets in any window of one second, while the leaders that may send to it change.
 *
 * leader.pml shows that at most two leaders draw on the shared bounds at a time. Which ones may change at any moment: a leader
 * loses most of its followers, is suspended, dies, or another one starts. Each that draws has an allowance, which grows by RATE in
 * a tick up to BURST. One that begins to draw begins with an empty allowance, whether it led before or not.
 *
 * Property: in any WINDOW ticks the upstream gets no more than two leaders that draw all the time would send.
 *
 * One tick stands for a quarter of a second (placement.upstream.refillColdTokens, placement.Pool.Configure).
 */
#define LEADERS 3
#define DRAWING 2
#define WINDOW 4
#define RATE 1
#define BURST 2

bool draws[LEADERS];
byte allowance[LEADERS];
byte sent[WINDOW];              /* by tick, the current one first */

byte i, drawing, total;

/* A leader begins to draw on the bound, after a start or after a time without most of the entries. */
inline begin(l) {
  if
  :: !draws[l] && drawing < DRAWING ->
     draws[l] = true;
     drawing++;
#ifdef MUTATE_KEEP_GROWING
     allowance[l] = BURST       /* it has grown while others sent */
#else
     allowance[l] = 0
#endif
  :: else -> skip
  fi
}

/* A leader stops drawing: it has lost most of the entries, is suspended, or has died. */
inline end(l) {
  if
  :: draws[l] -> draws[l] = false; drawing--
  :: else -> skip
  fi
}

inline send(l) {
  if
#ifdef MUTATE_DRAW_ALWAYS
  :: allowance[l] > 0 ->
#else
  :: draws[l] && allowance[l] > 0 ->
#endif
     allowance[l]--;
     sent[0]++
  :: else -> skip
  fi
}

inline passTick() {
  i = WINDOW - 1;
  do
  :: i > 0 -> sent[i] = sent[i - 1]; i--
  :: else -> break
  od;
  sent[0] = 0;
  i = 0;
  do
  :: i < LEADERS ->
     if
#ifdef MUTATE_DRAW_ALWAYS
     :: allowance[i] < BURST -> allowance[i] = allowance[i] + RATE
#else
     :: draws[i] && allowance[i] < BURST -> allowance[i] = allowance[i] + RATE
#endif
     :: else -> skip
     fi;
     i++
  :: else -> break
  od;
  i = 0
}

inline check() {
  total = 0;
  i = 0;
  do
  :: i < WINDOW -> total = total + sent[i]; i++
  :: else -> break
  od;
  assert(total <= DRAWING * (BURST + RATE * (WINDOW - 1)));
  total = 0;
  i = 0
}

init {
  do
  :: true -> atomic { begin(0) }
  :: true -> atomic { begin(1) }
  :: true -> atomic { begin(2) }
  :: true -> atomic { end(0) }
  :: true -> atomic { end(1) }
  :: true -> atomic { end(2) }
  :: true -> atomic { send(0); check() }
  :: true -> atomic { send(1); check() }
  :: true -> atomic { send(2); check() }
  :: true -> atomic { passTick() }
  od
}
