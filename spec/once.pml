/*
 * At most once: a non-idempotent call whose caller sends it again, over two entries.
 *
 * The request ID names the incarnation of the entry that may run the call (the registrar, entry 0, incarnation 0).
 * The other entry only passes the call on. The registrar records the ID before it dispatches and dispatches again
 * only after an attempt that is proved not run. A restarted registrar has a new incarnation and no records.
 * Connections to upstreams may be lost at any moment, before or after the upstream ran the call.
 *
 * Properties:
 *   guarantee 7: the call runs at most once;
 *   guarantee 6: when "not run" is answered, the call has not run and no attempt is under way;
 *   "done" is answered only for a call that ran.
 */
#define SENDS 3       /* times that the caller sends the call */
#define ATTEMPTS 2    /* dispatches that one run may make after refusals */

mtype = { none, running, finished, unknown };          /* record of the ID */
mtype = { doneAnswer, notRunAnswer, unknownAnswer };   /* answers to the caller */

byte incarnation = 0; /* of entry 0; the ID names incarnation 0 */
mtype record = none;  /* of the running incarnation */
byte window = 0;      /* registrar's window counter; the ID was minted in window 0 */
byte executions = 0;  /* by all upstreams */
byte underWay = 0;    /* dispatches that an upstream may still run */

#define RETAIN 1      /* windows for which records are kept */

#ifdef MUTATE_RESTARTED_ENTRY_RUNS
#define sameIncarnation true
#else
#define sameIncarnation (incarnation == 0)
#endif

#ifdef MUTATE_OLD_WINDOW_RUNS
#define windowKept true
#else
#define windowKept (window <= RETAIN)
#endif

#define mayRun (sameIncarnation && windowKept)

inline answer(a) {
  assert(a != notRunAnswer || (executions == 0 && underWay == 0));
  assert(a != doneAnswer || executions == 1)
}

/* Action execute: the upstream runs the call; its answer arrives or is lost with the connection. */
inline execute(lost) {
  executions++;
  assert(executions <= 1);
  underWay--;
  if
  :: lost = true
  :: lost = false
  fi
}

/* One dispatch to an upstream. Implemented by transport.RoundTrip; result is notRun, done or unknown. */
inline dispatch(result) {
  bool answerLost;
  underWay++;
  if
  :: /* refused by the upstream, or no byte written */
     underWay--;
     result = notRunAnswer
  :: /* connection lost before the upstream has read the call */
     underWay--;
     result = unknownAnswer
  :: /* connection lost; the upstream runs the call later */
     result = unknownAnswer;
     run lateExecution()
  :: atomic { execute(answerLost) };
     if
     :: answerLost -> result = unknownAnswer
     :: else -> result = doneAnswer
     fi
  fi
}

proctype lateExecution() {
  bool ignored;
  atomic { execute(ignored) }
}

/* Action run: the registrar's attempts. Implemented by proxy's call flow over idempotency.Registry. */
inline attempts(born, a) {
  byte tries = 0;
  do
  :: tries++;
     dispatch(a);
     if
     :: a == doneAnswer -> break
     :: a == unknownAnswer ->
#ifdef MUTATE_RETRY_AFTER_UNKNOWN
        if
        :: tries < ATTEMPTS -> skip
        :: else -> break
        fi
#else
        break
#endif
     :: a == notRunAnswer ->
        if
        :: tries < ATTEMPTS -> skip
        :: else -> break
        fi
     fi
  od;
#ifdef MUTATE_LOST_MEANS_NOT_RUN
  if
  :: a == unknownAnswer -> a = notRunAnswer
  :: else
  fi;
#endif
  atomic {
    if
    :: born != incarnation -> /* the entry died meanwhile: its caller sees a lost connection, nobody answers */
       a = unknownAnswer
    :: else ->
       if
       :: a == doneAnswer -> record = finished
       :: a == unknownAnswer -> record = unknown
       :: a == notRunAnswer -> record = none
       fi;
       answer(a)
    fi
  }
}

/* One sending of the call by the caller, to the registrar or to the other entry. */
proctype sending() {
  mtype a = unknownAnswer;
  bool mine = false;
  byte born;

#ifdef MUTATE_OTHER_ENTRY_RUNS
  if
  :: skip
  :: attempts(incarnation, a); goto end
  fi;
#endif
  atomic {
    born = incarnation;
    if
    :: !mayRun ->
       if
       :: answer(unknownAnswer)
       :: record == finished -> answer(doneAnswer) /* a call that ended after its window */
       fi
    :: else ->
       if
       :: record == none -> record = running; mine = true
       :: record == running -> skip /* waits for the result; modelled as giving up at its deadline */
       :: record == finished -> answer(doneAnswer)
       :: record == unknown -> answer(unknownAnswer)
       fi
    fi
  };
  if
  :: mine -> attempts(born, a)
  :: else
  fi;
end: skip
}

/* Action crash: the registrar dies and its host starts a new incarnation without records. */
proctype crash() {
  atomic { incarnation++; record = none }
}

/* Action expire: windows pass; records of finished calls are dropped after RETAIN windows. */
proctype windows() {
  do
  :: window < RETAIN + 1 ->
     atomic {
       window++;
       if
       :: window > RETAIN && record != running -> record = none
       :: else
       fi
     }
  :: else -> break
  od
}

init {
  byte sent = 0;
  run crash();
  run windows();
  do
  :: sent < SENDS -> run sending(); sent++
  :: else -> break
  od
}
