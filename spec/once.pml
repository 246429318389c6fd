/* At-most-once rule of docs/design.md, section 7: one non-idempotent request
 * that a caller sends to two entries, its row under compare-and-set, and two
 * agents that may restart with an empty memory.
 *
 * A message is a bit that stays set once sent: it may be delivered never, late
 * or repeatedly. An entry that stops acting is any run in which it takes no
 * further step. FAULTY_STORE applies writes late and loses answers.
 *
 * Parts, each small enough to be searched whole: FAULTY_STORE with one attempt
 * of each entry, and a store without faults with two.
 *
 * Mutants, each of which must be reported: NO_INCARNATION, DISPATCH_FIRST,
 * NO_MARKER, MARKER_UNREAD, QUERY_FORGETS, RETRY_UNKNOWN, SILENCE_IS_NOT_RUN,
 * NO_VERSION, REPEAT_RUNS. REACH fails on purpose once a second attempt runs. */

#define ABSENT 0
#define ATTEMPT 1
#define SUCCEEDED 2
#define NOT_RUN 3
#define UNKNOWN 4

#define NONE 0
#define COMMITTED 1
#define VOIDED 2
#define CONFLICT 3

#define ATTEMPTS 4 /* Entry e numbers its own 2 * e and 2 * e + 1. */
#define BIT(a) (1 << (a))
#ifndef OWN_ATTEMPTS
#define OWN_ATTEMPTS 2 /* Of one entry. */
#endif
#ifndef RESTARTS
#define RESTARTS 2
#endif

/* The table: the request's row, and each entry's transaction in flight. */
byte row_state, row_attempt, row_version;
bit in_flight[2];
byte marker[2], result[2], txn_state[2], txn_attempt[2], txn_version[2];

/* Agent and incarnation that each attempt addresses. */
byte server[ATTEMPTS], addressed_inc[ATTEMPTS];

/* Messages sent, as bits by attempt. */
byte dispatched, queried, says_done, says_refused, says_unknown;

byte inc[2], ran_here[2], refused_here[2], restarts;

/* Recorded only for the assertions. */
byte runs, ran_attempts, unrecorded, told;

inline check_truth()
{
  assert(runs <= 1);
  assert(told != NOT_RUN || runs == 0);
  assert((ran_attempts & unrecorded) == 0)
}

inline tell(outcome)
{
  assert(told == 0 || told == outcome);
  assert(outcome != SUCCEEDED || runs == 1);
  told = outcome;
  check_truth()
}

#ifdef NO_VERSION
#define VERSION_HOLDS(e) true
#define VERSION_HOLDS_NOW true
#else
#define VERSION_HOLDS(e) (txn_version[e] == row_version)
#define VERSION_HOLDS_NOW (version == row_version)
#endif

active proctype Store()
{
  byte e;
end:
  do
  :: atomic {
       in_flight[0] || in_flight[1] ->
       if
       :: in_flight[0] -> e = 0
       :: in_flight[1] -> e = 1
       fi;
       in_flight[e] = 0;
       if
       :: marker[e] == VOIDED
       :: marker[e] == NONE && VERSION_HOLDS(e) ->
          row_state = txn_state[e];
          row_attempt = txn_attempt[e];
          row_version++;
          marker[e] = COMMITTED;
          result[e] = COMMITTED
       :: marker[e] == NONE && !VERSION_HOLDS(e) -> result[e] = CONFLICT
       fi;
       e = 0
     }
  od
}

/* Sends a transaction, and leaves its true result in `r`. Without an answer it
 * is resolved by a void marker, whose own answer may be lost as well. */
inline transact(state, attempt)
{
#ifndef FAULTY_STORE
  atomic {
    if
    :: VERSION_HOLDS_NOW ->
       row_state = state; row_attempt = attempt; row_version++; r = COMMITTED
    :: else -> r = CONFLICT
    fi;
    version = 0
  }
#else
  atomic {
    txn_state[e] = state;
    txn_attempt[e] = attempt;
    txn_version[e] = version;
    version = 0;
    in_flight[e] = 1
  };
  do
  :: atomic { result[e] != NONE -> r = result[e]; break }
#ifdef NO_MARKER
  :: atomic { result[e] == NONE -> r = COMMITTED; break }
#else
  :: atomic { marker[e] == NONE && result[e] == NONE ->
       marker[e] = VOIDED;
       if
       :: r = VOIDED; break
       :: skip /* The answer to the void is lost. */
       fi }
#ifdef MARKER_UNREAD
  :: atomic { marker[e] != NONE -> r = COMMITTED; break }
#else
  :: atomic { marker[e] != NONE -> r = marker[e]; break }
#endif
#endif
  od;
#ifndef NO_MARKER
  atomic {
    in_flight[e] = 0; txn_state[e] = 0; txn_attempt[e] = 0;
    txn_version[e] = 0; marker[e] = NONE; result[e] = NONE
  }
#endif
#endif
}

inline read_row() { version = row_version; a = row_attempt }

/* Chooses a backend server, and the number of a new attempt. */
inline choose()
{
  a = 2 * e + used;
  used++;
  if
  :: server[a] = 0
  :: e != 0 || used > 1 -> server[a] = 1 /* The agents are alike. */
  fi;
  addressed_inc[a] = inc[server[a]]
}

inline dispatch()
{
  atomic { dispatched = dispatched | BIT(a) }
}

inline try_attempt(first)
{
  atomic { choose() };
#ifdef DISPATCH_FIRST
  dispatch();
#endif
  transact(ATTEMPT, a);
  if
  :: r == COMMITTED -> dispatch()
  :: atomic { r == VOIDED && first ->
       /* Refused while the store is down: this attempt is never sent. */
       unrecorded = unrecorded | BIT(a); check_truth(); break }
  :: else
  fi
}

inline record(outcome)
{
  transact(outcome, a);
  if
  :: r == COMMITTED -> atomic { tell(outcome) }; break
  :: else
  fi
}

proctype Entry(byte e)
{
  byte version, a, used, r;
  do
  :: atomic { row_state == ABSENT && used < OWN_ATTEMPTS -> read_row() };
     try_attempt(true)
  :: atomic { row_state == ATTEMPT -> read_row() };
     if
     :: atomic { !(queried & BIT(a)) -> queried = queried | BIT(a) }
     :: says_done & BIT(a) -> record(SUCCEEDED)
     :: (says_refused & BIT(a)) && used < OWN_ATTEMPTS -> try_attempt(false)
     :: says_refused & BIT(a) -> record(NOT_RUN)
#ifdef RETRY_UNKNOWN
     :: (says_unknown & BIT(a)) && used < OWN_ATTEMPTS -> try_attempt(false)
#endif
     :: says_unknown & BIT(a) -> record(UNKNOWN)
#ifdef SILENCE_IS_NOT_RUN
     :: record(NOT_RUN)
#endif
     fi
  :: atomic { row_state >= SUCCEEDED -> tell(row_state); break }
  od
}

#ifdef NO_INCARNATION
#define IS_ADDRESSED(x) true
#else
#define IS_ADDRESSED(x) (inc[s] == addressed_inc[x])
#endif
#ifdef REPEAT_RUNS
#define HAS_RUN(x) false
#else
#define HAS_RUN(x) (ran_here[s] & BIT(x))
#endif

inline run_task()
{
#ifdef REACH
  assert(!(a == 1 || a == 3));
#endif
  ran_here[s] = ran_here[s] | BIT(a);
  ran_attempts = ran_attempts | BIT(a);
  runs++;
  check_truth();
  says_done = says_done | BIT(a)
}

inline refuse()
{
  refused_here[s] = refused_here[s] | BIT(a);
  says_refused = says_refused | BIT(a)
}

inline answer_dispatch()
{
  if
  :: !IS_ADDRESSED(a) -> says_unknown = says_unknown | BIT(a)
  :: IS_ADDRESSED(a) && HAS_RUN(a) -> says_done = says_done | BIT(a)
  :: IS_ADDRESSED(a) && !HAS_RUN(a) && (refused_here[s] & BIT(a)) ->
     says_refused = says_refused | BIT(a)
  :: IS_ADDRESSED(a) && !HAS_RUN(a) && !(refused_here[s] & BIT(a)) ->
     if
     :: run_task()
     :: refuse() /* No slot is free. */
     fi
  fi
}

inline answer_query()
{
  if
  :: !IS_ADDRESSED(a) -> says_unknown = says_unknown | BIT(a)
  :: IS_ADDRESSED(a) && (ran_here[s] & BIT(a)) ->
     says_done = says_done | BIT(a)
  :: IS_ADDRESSED(a) && !(ran_here[s] & BIT(a)) ->
#ifdef QUERY_FORGETS
     says_refused = says_refused | BIT(a)
#else
     refuse()
#endif
  fi
}

/* Takes any message to this agent. */
inline pick(bits)
{
  if
  :: (bits & BIT(0)) && server[0] == s -> a = 0
  :: (bits & BIT(1)) && server[1] == s -> a = 1
  :: (bits & BIT(2)) && server[2] == s -> a = 2
  :: (bits & BIT(3)) && server[3] == s -> a = 3
  fi
}

proctype Agent(byte s)
{
  byte a;
  do
  :: atomic { pick(dispatched) -> answer_dispatch(); a = 0 }
  :: atomic { pick(queried) -> answer_query(); a = 0 }
  :: atomic { restarts < RESTARTS && inc[s] < 2 ->
       restarts++; inc[s]++; ran_here[s] = 0; refused_here[s] = 0 }
  od
}

init
{
  atomic {
    inc[0] = 1; inc[1] = 1;
    run Agent(0); run Agent(1);
    run Entry(0); run Entry(1)
  }
}
