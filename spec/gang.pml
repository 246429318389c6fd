/* Gang protocol of docs/design.md, sections 5, 7 and 10: two entries that both
 * act as driver, a table row under compare-and-set, and a gang of two members
 * in at most two generations.
 *
 * A message is a bit that stays set once sent: it may be delivered never, late
 * or repeatedly. A process that stops acting (crash, pause) is any run in which
 * it takes no further step. Time is discrete and relative: a tick lowers every
 * timer by one, so a holder that is paused past its lease is covered.
 *
 * Parts, each small enough to be searched whole: UNTIMED (two drivers and no
 * ticks), FAULTY_STORE (the store also loses answers and applies writes late)
 * and LEASE_PART (rounds, ticks and a takeover), the last also with DISJOINT:
 * generation 2 is placed on other backend servers. spec/lease.pml has the bound
 * of the rounds with three members.
 *
 * Mutants, each of which must be reported: NO_INCARNATION, START_FIRST,
 * NO_MARKER, MARKER_UNREAD, NO_WAIT, SHORT_WAIT, NO_REFUSAL, HOLD_BY_KEY,
 * REHOLD_ANY, STARTED_AS_NEVER, NO_VERSION, OPEN_EARLY. REACH fails on purpose
 * once generation 2 opens after generation 1 has run. */

#ifdef UNTIMED
#define LEASE 1
#else
#define LEASE 2       /* Ticks from a member's acknowledgement. */
#endif
#define ROUND_LIMIT 1 /* Ticks in which a round must be complete. */
#ifdef SHORT_WAIT
#define WAIT (LEASE - 1) /* LEASE is the bound with two members. */
#else
#define WAIT (LEASE + ROUND_LIMIT)
#endif
#ifndef ROUNDS
#define ROUNDS 3
#endif
#ifndef GENERATIONS
#define GENERATIONS 2
#endif
#ifndef RESTARTS
#define RESTARTS 1
#endif

#ifdef DISJOINT
#define AGENTS 4
#define AGENT(g, m) (((g) - 1) * 2 + (m))
#define MEMBER(a) ((a) % 2)
#define PLACED(a, g) ((a) / 2 + 1 == (g))
#else
#define AGENTS 2
#define AGENT(g, m) (m)
#define MEMBER(a) (a)
#define PLACED(a, g) true
#endif

#define BIT(g) (1 << (g))
#define ALL 3

/* Job states. */
#define ABSENT 0
#define QUEUED 1
#define RUNNING 2
#define STOPPING 3
#define DONE 4
/* Markers and results of a transaction. */
#define NONE 0
#define COMMITTED 1
#define VOIDED 2
#define CONFLICT 3
/* Member states in an agent's memory. */
#define EMPTY 0
#define HELD 1
#define STARTED 2
#define OPEN 3
/* Answers to a stop or a start, as bits. */
#define NEVER 1
#define STOPPED 2
#define OTHER 4

/* The table: the job row, and each entry's transaction in flight. */
byte row_state, row_generation, row_version;
bit in_flight[2];
byte marker[2], result[2], txn_kind[2], txn_version[2];
bool txn_never[2];
byte committed_inc[6];   /* [generation * 2 + member] of the row. */
byte committed_owner[3]; /* Entry whose placement was committed, plus 1. */

/* Messages sent, as bits by generation. */
byte prepare_sent[2], held_mask[6], release_sent, start_sent, stop_sent;
byte addressed_inc[12]; /* [entry * 6 + generation * 2 + member] */
byte answers[6];        /* [generation * 2 + member] */
byte round_sent[3], round_acked[3];

/* Agents, and the backend servers that outlive them. */
byte inc[AGENTS], state[AGENTS], generation[AGENTS], owner[AGENTS];
byte refused[AGENTS], stopped[AGENTS], last_ack[AGENTS], ack_left[AGENTS];
byte running[AGENTS], lease[AGENTS], newest[AGENTS];
byte round_no[AGENTS], round_age[AGENTS];
byte first_owner[12]; /* [agent * 3 + generation], kept when a hold ends. */
byte restarts;

byte wait_left[2];

/* Recorded only for the assertions. */
bit told_not_run, ran, aborted;
byte ready[3];

inline check_truth()
{
  assert(!(told_not_run && ran));
  assert(!(aborted && row_generation > 0 && row_state == RUNNING));
}

/* --- Table service ------------------------------------------------------ */

inline apply(e)
{
  if
  :: txn_kind[e] == QUEUED && row_state == ABSENT -> row_state = QUEUED
  :: txn_kind[e] == RUNNING ->
     assert(!aborted); /* Commit and abort exclude each other. */
     row_generation++;
     row_state = RUNNING;
     committed_owner[row_generation] = e + 1;
     committed_inc[row_generation * 2] =
       addressed_inc[e * 6 + row_generation * 2];
     committed_inc[row_generation * 2 + 1] =
       addressed_inc[e * 6 + row_generation * 2 + 1]
  :: txn_kind[e] == STOPPING -> row_state = STOPPING
  :: txn_kind[e] == QUEUED && row_state != ABSENT -> row_state = QUEUED
  :: txn_kind[e] == DONE ->
     if
     :: row_state == QUEUED && row_generation == 0 -> aborted = 1
     :: else
     fi;
     row_state = DONE
  fi;
  row_version++
}

#ifdef NO_VERSION
#define VERSION_HOLDS(e) (row_state != DONE)
#define VERSION_HOLDS_NOW (row_state != DONE)
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
       :: marker[e] == VOIDED -> skip
       :: marker[e] == NONE && VERSION_HOLDS(e) ->
          apply(e); marker[e] = COMMITTED; result[e] = COMMITTED
       :: marker[e] == NONE && !VERSION_HOLDS(e) -> result[e] = CONFLICT
       fi;
       e = 0
     }
  od
}

/* Sends a transaction, and leaves its true result in `r`. Without an answer it
 * is resolved by a void marker, whose own answer may be lost as well. */
inline transact(kind)
{
#ifndef FAULTY_STORE
  atomic {
    if
    :: VERSION_HOLDS_NOW ->
       txn_kind[e] = kind; apply(e); txn_kind[e] = 0; r = COMMITTED
    :: else -> r = CONFLICT
    fi;
    version = 0
  }
#else
  atomic {
    txn_kind[e] = kind;
    txn_version[e] = version;
    version = 0;
    in_flight[e] = 1
  };
  do
  :: atomic { result[e] != NONE -> r = result[e]; break }
#ifdef NO_MARKER
  :: atomic { result[e] != CONFLICT -> /* Reads back and trusts it. */
       if
       :: marker[e] == COMMITTED -> r = COMMITTED
       :: else -> r = VOIDED
       fi;
       break }
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
  /* Both the transaction and its marker are settled: a late copy of either
   * has no effect. */
  atomic {
    in_flight[e] = 0; txn_kind[e] = 0; txn_version[e] = 0;
    marker[e] = NONE; result[e] = NONE
  }
#endif
#endif
}

/* --- Entries ------------------------------------------------------------ */

inline read_row() { version = row_version; g = row_generation }

inline tell_not_run() { told_not_run = 1; check_truth() }

inline send_prepare()
{
  prepare_sent[e] = prepare_sent[e] | BIT(g);
  addressed_inc[e * 6 + g * 2] = inc[AGENT(g, 0)];
  addressed_inc[e * 6 + g * 2 + 1] = inc[AGENT(g, 1)]
}

#define CONFIRMED(m) (answers[g * 2 + m] & (NEVER | STOPPED))
#define BROKEN (answers[g * 2] != 0 || answers[g * 2 + 1] != 0)
#define SAYS_NEVER (g == 1 && ((answers[2] | answers[3]) & NEVER))

inline finish_stop()
{
  if
  :: g < GENERATIONS -> transact(QUEUED)
  :: SAYS_NEVER ->
     transact(DONE);
     if
     :: r == COMMITTED -> atomic { tell_not_run() }
     :: else
     fi
  :: !SAYS_NEVER -> transact(DONE)
  fi
}

proctype Entry(byte e)
{
  byte version, g, r;
#ifndef LEASE_PART
  if
  :: e == 0 ->
     transact(QUEUED); /* Accepts the job. */
     if
     :: r == VOIDED -> atomic { tell_not_run() }
     :: else
     fi
  :: else
  fi;
#endif
  do
  :: atomic {
       row_state == QUEUED && row_generation < GENERATIONS &&
         !(prepare_sent[e] & BIT(row_generation + 1)) ->
       read_row(); g = g + 1; send_prepare()
     };
     if
     :: held_mask[e * 3 + g] == ALL ->
#ifdef START_FIRST
        atomic {
          committed_inc[g * 2] = addressed_inc[e * 6 + g * 2];
          committed_inc[g * 2 + 1] = addressed_inc[e * 6 + g * 2 + 1];
          committed_owner[g] = e + 1;
          start_sent = start_sent | BIT(g)
        };
#endif
        transact(RUNNING);
        if
        :: r == COMMITTED -> atomic { start_sent = start_sent | BIT(g) }
        :: else -> atomic { release_sent = release_sent | BIT(g) }
        fi
     :: atomic { true -> release_sent = release_sent | BIT(g) }
     fi
  :: atomic { row_state == QUEUED && row_generation == 0 -> read_row() };
     transact(DONE);
     if
     :: r == COMMITTED -> atomic { tell_not_run() }
     :: else
     fi
  :: atomic { row_state == RUNNING && !(start_sent & BIT(row_generation)) ->
       start_sent = start_sent | BIT(row_generation) }
  :: atomic { row_state == RUNNING -> read_row() };
     transact(STOPPING)
  :: atomic { row_state == STOPPING -> read_row();
       stop_sent = stop_sent | BIT(g) };
     if
     :: CONFIRMED(0) && CONFIRMED(1) -> finish_stop()
#ifdef NO_WAIT
     :: BROKEN -> finish_stop()
#else
#ifndef UNTIMED
     :: atomic { BROKEN -> wait_left[e] = WAIT };
        atomic { wait_left[e] == 0 -> skip };
        finish_stop()
#endif
#endif
     fi
  :: row_state == DONE -> break
  od
}

/* --- Agents ------------------------------------------------------------- */

/* Whether messages to (g, m) of this agent are for this process. */
#ifdef NO_INCARNATION
#define ADDRESSED(expected) true
#else
#define ADDRESSED(expected) (inc[a] == (expected))
#endif
#ifdef NO_REFUSAL
#define REFUSES(g) false
#else
#define REFUSES(g) ((refused[a] | stopped[a]) & BIT(g))
#endif
#ifdef HOLD_BY_KEY
#define HOLDS_FOR(e) (state[a] == HELD && generation[a] == g)
#else
#define HOLDS_FOR(e) \
  (state[a] == HELD && generation[a] == g && owner[a] == e + 1)
#endif
/* A generation is held again only with the content it was held with first:
 * two drivers may prepare the same number with different placements, and a
 * start names only the number. */
#ifdef REHOLD_ANY
#define MAY_HOLD(e) (state[a] == EMPTY)
#else
#define MAY_HOLD(e) \
  (state[a] == EMPTY && \
   (first_owner[a * 3 + g] == 0 || first_owner[a * 3 + g] == e + 1))
#endif

inline answer(bits) { answers[g * 2 + MEMBER(a)] = answers[g * 2 + MEMBER(a)] | bits }

inline forget()
{
  state[a] = EMPTY; generation[a] = 0; owner[a] = 0; last_ack[a] = 0;
  ack_left[a] = 0; round_no[a] = 0; round_age[a] = 0
}

inline on_prepare(e)
{
  if
  :: state[a] == EMPTY ->
     state[a] = HELD; generation[a] = g; owner[a] = e + 1;
     first_owner[a * 3 + g] = e + 1
  :: else
  fi;
  held_mask[e * 3 + g] = held_mask[e * 3 + g] | (1 << MEMBER(a))
}

inline refuse()
{
  if
  :: stopped[a] & BIT(g) -> answer(STOPPED)
  :: else -> refused[a] = refused[a] | BIT(g); answer(NEVER)
  fi
}

inline on_start()
{
  if
  :: !ADDRESSED(committed_inc[g * 2 + MEMBER(a)]) -> answer(OTHER)
  :: else ->
     if
     :: state[a] == HELD && generation[a] == g ->
        state[a] = STARTED;
        ready[g] = ready[g] | (1 << MEMBER(a))
     :: state[a] >= STARTED && generation[a] == g
     :: else -> refuse()
     fi
  fi
}

inline on_stop()
{
  if
  :: !ADDRESSED(committed_inc[g * 2 + MEMBER(a)]) -> answer(OTHER)
  :: else ->
     if
     :: generation[a] == g && state[a] >= STARTED ->
        if
        :: running[a] == g -> running[a] = 0; lease[a] = 0
        :: else
        fi;
#ifdef STARTED_AS_NEVER
        if
        :: state[a] == STARTED -> refused[a] = refused[a] | BIT(g); answer(NEVER)
        :: else -> stopped[a] = stopped[a] | BIT(g); answer(STOPPED)
        fi;
#else
        stopped[a] = stopped[a] | BIT(g);
        answer(STOPPED);
#endif
        forget()
     :: generation[a] == g && state[a] == HELD -> forget(); refuse()
     :: else -> refuse()
     fi
  fi
}

/* The deadline of the last acknowledged round takes effect. */
inline extend()
{
  if
  :: state[a] == STARTED && ack_left[a] > 0 && running[a] == 0 &&
       newest[a] <= generation[a] ->
     assert(ready[generation[a]] == ALL);
     assert(owner[a] == committed_owner[generation[a]]);
     state[a] = OPEN; running[a] = generation[a]; newest[a] = running[a];
     lease[a] = ack_left[a];
#ifdef REACH
     assert(!(running[a] == 2 && ran));
#endif
     ran = 1;
     check_truth();
     check_single()
  :: state[a] == OPEN && running[a] == generation[a] && ack_left[a] > 0 ->
     lease[a] = ack_left[a]
  :: else
  fi
}

inline check_single()
{
  for (other : 0 .. AGENTS - 1) {
    assert(running[other] == 0 || running[other] == running[a])
  };
  other = 0
}

#define LEADS (MEMBER(a) == 0 && state[a] >= STARTED)
#define FOLLOWS (MEMBER(a) == 1 && state[a] >= STARTED)
#define NEXT(bits) ((bits) & BIT(last_ack[a] + 1))

inline send_round()
{
  round_no[a]++;
  round_age[a] = 0;
  ack_left[a] = LEASE;
  round_sent[generation[a]] = round_sent[generation[a]] | BIT(round_no[a])
}

#define IN_TIME (round_age[a] <= ROUND_LIMIT)
#ifdef OPEN_EARLY
#define COMPLETE (round_no[a] == 1 || round_acked[generation[a]] & BIT(round_no[a]))
#else
#define COMPLETE (round_acked[generation[a]] & BIT(round_no[a]))
#endif

#define TO(e, n) (prepare_sent[e] & BIT(n)) && PLACED(a, n) && \
  ADDRESSED(addressed_inc[(e) * 6 + (n) * 2 + MEMBER(a)])
#define MESSAGES(n) \
  :: d_step { TO(0, n) -> g = n; \
       if \
       :: !REFUSES(g) && (MAY_HOLD(0) || HOLDS_FOR(0)) -> on_prepare(0) \
       :: else \
       fi; g = 0 } \
  :: d_step { TO(1, n) -> g = n; \
       if \
       :: !REFUSES(g) && (MAY_HOLD(1) || HOLDS_FOR(1)) -> on_prepare(1) \
       :: else \
       fi; g = 0 } \
  :: d_step { PLACED(a, n) && (release_sent & BIT(n)) && \
       state[a] == HELD && generation[a] == n -> \
       refused[a] = refused[a] | BIT(n); forget() } \
  :: d_step { PLACED(a, n) && (start_sent & BIT(n)) -> \
       g = n; on_start(); g = 0 } \
  :: d_step { PLACED(a, n) && (stop_sent & BIT(n)) -> \
       g = n; on_stop(); g = 0 }

proctype Agent(byte a)
{
  byte g, other;
  do
  MESSAGES(1)
  MESSAGES(2)
  :: d_step { state[a] == HELD -> forget() } /* The hold time has passed. */
  :: d_step { restarts < RESTARTS && inc[a] < 2 ->
       restarts++; inc[a] = 2; refused[a] = 0; stopped[a] = 0;
       first_owner[a * 3 + 1] = 0; first_owner[a * 3 + 2] = 0; forget() }
  :: d_step { LEADS && round_no[a] == 0 -> send_round() }
  :: d_step { LEADS && round_no[a] > 0 && round_no[a] < ROUNDS && COMPLETE && IN_TIME ->
       extend(); send_round() }
  :: d_step { FOLLOWS && NEXT(round_sent[generation[a]]) ->
       if
       :: last_ack[a] > 0 -> extend()
       :: else
       fi;
       last_ack[a]++;
       ack_left[a] = LEASE;
       round_acked[generation[a]] = round_acked[generation[a]] | BIT(last_ack[a]) }
  od
}

/* --- Time --------------------------------------------------------------- */

inline lower(x)
{
  if
  :: x > 0 -> x = x - 1
  :: else
  fi
}

inline tick_agent(a)
{
  lower(lease[a]);
  if
  :: lease[a] == 0 -> running[a] = 0 /* The backend server ends the task. */
  :: else
  fi;
  lower(ack_left[a]);
  if
  :: round_no[a] > 0 && round_age[a] <= ROUND_LIMIT -> round_age[a]++
  :: else
  fi
}

#define BUSY(a) \
  (lease[a] > 0 || ack_left[a] > 0 || (round_no[a] > 0 && round_age[a] <= ROUND_LIMIT))

#ifdef UNTIMED
#define ANY_BUSY false
#elif defined(DISJOINT)
#define ANY_BUSY (BUSY(0) || BUSY(1) || BUSY(2) || BUSY(3))
#else
#define ANY_BUSY (BUSY(0) || BUSY(1))
#endif

active proctype Clock()
{
  byte i;
  do
  :: d_step {
       wait_left[0] > 0 || wait_left[1] > 0 || ANY_BUSY ->
       for (i : 0 .. AGENTS - 1) { tick_agent(i) };
       i = 0;
       lower(wait_left[0]);
       lower(wait_left[1])
     }
  od
}

/* The lease part starts with generation 1 committed by entry 0, which stopped
 * before it sent any start. */
inline start_committed()
{
  row_state = RUNNING; row_generation = 1; row_version = 2;
  committed_owner[1] = 1; committed_inc[2] = 1; committed_inc[3] = 1;
  prepare_sent[0] = BIT(1); addressed_inc[2] = 1; addressed_inc[3] = 1;
  state[AGENT(1, 0)] = HELD; state[AGENT(1, 1)] = HELD;
  generation[AGENT(1, 0)] = 1; generation[AGENT(1, 1)] = 1;
  owner[AGENT(1, 0)] = 1; owner[AGENT(1, 1)] = 1;
  first_owner[AGENT(1, 0) * 3 + 1] = 1; first_owner[AGENT(1, 1) * 3 + 1] = 1
}

init
{
  byte i;
  atomic {
    for (i : 0 .. AGENTS - 1) { inc[i] = 1; run Agent(i) };
    i = 0;
#ifdef LEASE_PART
    start_committed();
#else
    run Entry(0);
#endif
    run Entry(1)
  }
}
