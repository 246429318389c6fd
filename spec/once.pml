/* Model of the at-most-once rule of docs/design.md, section 7: one
 * non-idempotent request that a caller sends to two entries, its row that is
 * written by compare-and-set, and two agents that can restart and then have no
 * record of earlier attempts.
 *
 * A message is a bit that stays set once the message is sent, so that it can be
 * delivered late, repeatedly or never. A stopped entry takes no further step.
 * With FAULTY_STORE the store applies writes late and loses replies.
 *
 * Two configurations, each small enough for an exhaustive search: FAULTY_STORE
 * with one attempt per entry, and a store without faults with two.
 *
 * Mutants: each of these switches introduces a fault that the search must find:
 * NO_INCARNATION, DISPATCH_FIRST, NO_MARKER, MARKER_UNREAD, QUERY_FORGETS,
 * RETRY_UNKNOWN, SILENCE_IS_NOT_RUN, NO_VERSION, REPEAT_RUNS. REACH fails by
 * design when a second attempt runs; it shows that the model reaches this
 * state. */

#define ABSENT 0
#define ATTEMPT 1
#define SUCCEEDED 2
#define NOT_RUN 3
#define UNKNOWN 4

#define NONE 0
#define COMMITTED 1
#define VOIDED 2
#define CONFLICT 3

#define ATTEMPTS 4 /* Attempts 2 * e and 2 * e + 1 belong to entry e. */
#define BIT(a) (1 << (a))
#ifndef OWN_ATTEMPTS
#define OWN_ATTEMPTS 2 /* Per entry. */
#endif
#ifndef RESTARTS
#define RESTARTS 2
#endif

/* Table service: the request's row, and the transaction in flight of each
 * entry. */
byte row_state, row_attempt, row_version;
bit in_flight[2];
byte marker[2], result[2], txn_state[2], txn_attempt[2], txn_version[2];

/* Agent and incarnation to which each attempt is addressed. */
byte server[ATTEMPTS], addressed_incarnation[ATTEMPTS];

/* Messages sent, one bit per attempt. */
byte dispatched, queried, replied_done, replied_refused, replied_unknown;

/* State of the agents: attempts run and refused, one bit per attempt. A restart
 * clears both. */
byte incarnation[2], recorded_runs[2], recorded_refusals[2], restarts;

/* Used only by assertions. */
byte runs, ran_attempts, rejected_attempts, reported_outcome;

inline check_outcome()
{
  assert(runs <= 1);
  assert(reported_outcome != NOT_RUN || runs == 0);
  assert((ran_attempts & rejected_attempts) == 0)
}

inline report(outcome)
{
  assert(reported_outcome == 0 || reported_outcome == outcome);
  assert(outcome != SUCCEEDED || runs == 1);
  reported_outcome = outcome;
  check_outcome()
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

/* Runs a transaction and stores its result in `r`. A transaction whose reply is
 * lost is resolved by writing a VOIDED marker; the reply to that write can be
 * lost as well. */
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
       :: skip /* The reply to the VOIDED marker is lost. */
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

/* Numbers a new attempt and chooses its backend server. */
inline choose_server()
{
  a = 2 * e + used_attempts;
  used_attempts++;
  if
  :: server[a] = 0
  :: e != 0 || used_attempts > 1 -> server[a] = 1 /* Symmetry of the agents. */
  fi;
  addressed_incarnation[a] = incarnation[server[a]]
}

inline dispatch()
{
  atomic { dispatched = dispatched | BIT(a) }
}

inline try_attempt(first)
{
  atomic { choose_server() };
#ifdef DISPATCH_FIRST
  dispatch();
#endif
  transact(ATTEMPT, a);
  if
  :: r == COMMITTED -> dispatch()
  :: atomic { r == VOIDED && first ->
       /* Rejected because the store is down: this attempt is never sent. */
       rejected_attempts = rejected_attempts | BIT(a); check_outcome(); break }
  :: else
  fi
}

inline record(outcome)
{
  transact(outcome, a);
  if
  :: r == COMMITTED -> atomic { report(outcome) }; break
  :: else
  fi
}

proctype Entry(byte e)
{
  byte version, a, used_attempts, r;
  do
  :: atomic { row_state == ABSENT && used_attempts < OWN_ATTEMPTS -> read_row() };
     try_attempt(true)
  :: atomic { row_state == ATTEMPT -> read_row() };
     if
     :: atomic { !(queried & BIT(a)) -> queried = queried | BIT(a) }
     :: replied_done & BIT(a) -> record(SUCCEEDED)
     :: (replied_refused & BIT(a)) && used_attempts < OWN_ATTEMPTS ->
        try_attempt(false)
     :: replied_refused & BIT(a) -> record(NOT_RUN)
#ifdef RETRY_UNKNOWN
     :: (replied_unknown & BIT(a)) && used_attempts < OWN_ATTEMPTS ->
        try_attempt(false)
#endif
     :: replied_unknown & BIT(a) -> record(UNKNOWN)
#ifdef SILENCE_IS_NOT_RUN
     :: record(NOT_RUN)
#endif
     fi
  :: atomic { row_state >= SUCCEEDED -> report(row_state); break }
  od
}

#ifdef NO_INCARNATION
#define IS_ADDRESSED(x) true
#else
#define IS_ADDRESSED(x) (incarnation[s] == addressed_incarnation[x])
#endif
#ifdef REPEAT_RUNS
#define HAS_RUN(x) false
#else
#define HAS_RUN(x) (recorded_runs[s] & BIT(x))
#endif

inline run_task()
{
#ifdef REACH
  assert(!(a == 1 || a == 3));
#endif
  recorded_runs[s] = recorded_runs[s] | BIT(a);
  ran_attempts = ran_attempts | BIT(a);
  runs++;
  check_outcome();
  replied_done = replied_done | BIT(a)
}

inline refuse()
{
  recorded_refusals[s] = recorded_refusals[s] | BIT(a);
  replied_refused = replied_refused | BIT(a)
}

inline handle_dispatch()
{
  if
  :: !IS_ADDRESSED(a) -> replied_unknown = replied_unknown | BIT(a)
  :: IS_ADDRESSED(a) && HAS_RUN(a) -> replied_done = replied_done | BIT(a)
  :: IS_ADDRESSED(a) && !HAS_RUN(a) && (recorded_refusals[s] & BIT(a)) ->
     replied_refused = replied_refused | BIT(a)
  :: IS_ADDRESSED(a) && !HAS_RUN(a) && !(recorded_refusals[s] & BIT(a)) ->
     if
     :: run_task()
     :: refuse() /* No slot is free. */
     fi
  fi
}

inline handle_query()
{
  if
  :: !IS_ADDRESSED(a) -> replied_unknown = replied_unknown | BIT(a)
  :: IS_ADDRESSED(a) && (recorded_runs[s] & BIT(a)) ->
     replied_done = replied_done | BIT(a)
  :: IS_ADDRESSED(a) && !(recorded_runs[s] & BIT(a)) ->
#ifdef QUERY_FORGETS
     replied_refused = replied_refused | BIT(a)
#else
     refuse()
#endif
  fi
}

/* Chooses any attempt to this agent whose bit in `bits` is set. */
inline choose_message(bits)
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
  :: atomic { choose_message(dispatched) -> handle_dispatch(); a = 0 }
  :: atomic { choose_message(queried) -> handle_query(); a = 0 }
  :: atomic { restarts < RESTARTS && incarnation[s] < 2 ->
       restarts++; incarnation[s]++;
       recorded_runs[s] = 0; recorded_refusals[s] = 0 }
  od
}

init
{
  atomic {
    incarnation[0] = 1; incarnation[1] = 1;
    run Agent(0); run Agent(1);
    run Entry(0); run Entry(1)
  }
}
