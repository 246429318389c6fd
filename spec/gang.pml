/* Model of the gang protocol of docs/design.md, sections 5, 7 and 10: two
 * entries that both act as driver, a table row that is written by
 * compare-and-set, and a gang of two members in at most two generations.
 *
 * A message is a bit that stays set once the message is sent, so that it can be
 * delivered late, repeatedly or never. A crashed or paused process takes no
 * further step. Time is discrete and relative: each tick decrements all timers,
 * so an agent that is paused past the expiry of its lease is covered as well.
 *
 * Three configurations, each small enough for an exhaustive search: UNTIMED has
 * two drivers and no ticks; FAULTY_STORE adds a store that loses replies and
 * applies writes late; LEASE_PART has renewal rounds, ticks and a takeover.
 * LEASE_PART with DISJOINT places generation 2 on other backend servers.
 * spec/lease.pml checks the time bound of renewal rounds with three members.
 *
 * Mutants: each of these switches introduces a fault that the search must find:
 * NO_INCARNATION, START_FIRST, NO_MARKER, MARKER_UNREAD, NO_WAIT, SHORT_WAIT,
 * NO_REFUSAL, HOLD_BY_KEY, REHOLD_ANY, STARTED_AS_NEVER, NO_VERSION, OPEN_EARLY.
 * REACH fails by design when generation 2 opens after generation 1 has run; it
 * shows that the model reaches this state. */

#ifdef UNTIMED
#define LEASE 1
#else
#define LEASE 2       /* Ticks after a member's acknowledgement. */
#endif
#define ROUND_LIMIT 1 /* Ticks within which a renewal round must complete. */
#ifdef SHORT_WAIT
/* One tick below the bound, which is LEASE ticks with two members. */
#define WAIT (LEASE - 1)
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
#define ALL_MEMBERS 3

/* Job states. */
#define ABSENT 0
#define QUEUED 1
#define RUNNING 2
#define STOPPING 3
#define DONE 4
/* Values of a transaction's marker row and result. */
#define NONE 0
#define COMMITTED 1
#define VOIDED 2
#define CONFLICT 3
/* Member states of an agent. HELD: resources are reserved by a prepare. */
#define EMPTY 0
#define HELD 1
#define STARTED 2
#define OPEN 3
/* Replies to a stop or a start, as bits. */
#define NEVER_STARTED 1
#define STOPPED 2
#define OTHER_INCARNATION 4

/* Table service: the job row, and the transaction in flight of each entry. */
byte row_state, row_generation, row_version;
bit in_flight[2];
byte marker[2], result[2], txn_kind[2], txn_version[2];
bool txn_never[2];
byte committed_incarnation[6]; /* Of the job row: [generation * 2 + member] */
byte committed_owner[3];       /* Entry of the committed placement, plus 1. */

/* Messages sent, one bit per generation. */
byte prepare_sent[2], held_mask[6], release_sent, start_sent, stop_sent;
byte addressed_incarnation[12]; /* [entry * 6 + generation * 2 + member] */
byte replies[6];                /* [generation * 2 + member] */
byte round_sent[3], round_acked[3];

/* Agents and their backend servers. `running`, `lease` and `newest_generation`
 * belong to the backend server and survive a restart of the agent. `running` is
 * the generation of the task that runs, 0 if there is none. `ack_remaining` is
 * the time until the deadline of the last acknowledged round. */
byte incarnation[AGENTS], state[AGENTS], generation[AGENTS], owner[AGENTS];
byte refused_mask[AGENTS], stopped_mask[AGENTS], last_ack[AGENTS];
byte ack_remaining[AGENTS];
byte running[AGENTS], lease[AGENTS], newest_generation[AGENTS];
byte round_no[AGENTS], round_age[AGENTS];
byte first_owner[12]; /* [agent * 3 + generation]; outlives the reservation. */
byte restarts;

byte wait_remaining[2];

/* Used only by assertions. */
bit reported_not_run, ran, aborted;
byte started_mask[3];

inline check_outcome()
{
  assert(!(reported_not_run && ran));
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
     committed_incarnation[row_generation * 2] =
       addressed_incarnation[e * 6 + row_generation * 2];
     committed_incarnation[row_generation * 2 + 1] =
       addressed_incarnation[e * 6 + row_generation * 2 + 1]
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

/* Runs a transaction and stores its result in `r`. A transaction whose reply is
 * lost is resolved by writing a VOIDED marker; the reply to that write can be
 * lost as well. */
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
  :: atomic { result[e] != CONFLICT -> /* Trusts one read of the marker. */
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
  /* The transaction and its marker are final: a late copy of either has no
   * effect. */
  atomic {
    in_flight[e] = 0; txn_kind[e] = 0; txn_version[e] = 0;
    marker[e] = NONE; result[e] = NONE
  }
#endif
#endif
}

/* --- Entries ------------------------------------------------------------ */

inline read_row() { version = row_version; g = row_generation }

inline report_not_run() { reported_not_run = 1; check_outcome() }

inline send_prepare()
{
  prepare_sent[e] = prepare_sent[e] | BIT(g);
  addressed_incarnation[e * 6 + g * 2] = incarnation[AGENT(g, 0)];
  addressed_incarnation[e * 6 + g * 2 + 1] = incarnation[AGENT(g, 1)]
}

#define END_CONFIRMED(m) (replies[g * 2 + m] & (NEVER_STARTED | STOPPED))
#define GANG_BROKEN (replies[g * 2] != 0 || replies[g * 2 + 1] != 0)
#define NEVER_STARTED_REPLIED \
  (g == 1 && ((replies[2] | replies[3]) & NEVER_STARTED))

inline finish_stop()
{
  if
  :: g < GENERATIONS -> transact(QUEUED)
  :: NEVER_STARTED_REPLIED ->
     transact(DONE);
     if
     :: r == COMMITTED -> atomic { report_not_run() }
     :: else
     fi
  :: !NEVER_STARTED_REPLIED -> transact(DONE)
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
     :: r == VOIDED -> atomic { report_not_run() }
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
     :: held_mask[e * 3 + g] == ALL_MEMBERS ->
#ifdef START_FIRST
        atomic {
          committed_incarnation[g * 2] = addressed_incarnation[e * 6 + g * 2];
          committed_incarnation[g * 2 + 1] =
            addressed_incarnation[e * 6 + g * 2 + 1];
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
     :: r == COMMITTED -> atomic { report_not_run() }
     :: else
     fi
  :: atomic { row_state == RUNNING && !(start_sent & BIT(row_generation)) ->
       start_sent = start_sent | BIT(row_generation) }
  :: atomic { row_state == RUNNING -> read_row() };
     transact(STOPPING)
  :: atomic { row_state == STOPPING -> read_row();
       stop_sent = stop_sent | BIT(g) };
     if
     :: END_CONFIRMED(0) && END_CONFIRMED(1) -> finish_stop()
#ifdef NO_WAIT
     :: GANG_BROKEN -> finish_stop()
#else
#ifndef UNTIMED
     :: atomic { GANG_BROKEN -> wait_remaining[e] = WAIT };
        atomic { wait_remaining[e] == 0 -> skip };
        finish_stop()
#endif
#endif
     fi
  :: row_state == DONE -> break
  od
}

/* --- Agents ------------------------------------------------------------- */

/* Whether a message is addressed to the current incarnation of this agent. */
#ifdef NO_INCARNATION
#define ADDRESSED(expected) true
#else
#define ADDRESSED(expected) (incarnation[a] == (expected))
#endif
#ifdef NO_REFUSAL
#define REFUSES(g) false
#else
#define REFUSES(g) ((refused_mask[a] | stopped_mask[a]) & BIT(g))
#endif
#ifdef HOLD_BY_KEY
#define RESERVED_FOR(e) (state[a] == HELD && generation[a] == g)
#else
#define RESERVED_FOR(e) \
  (state[a] == HELD && generation[a] == g && owner[a] == e + 1)
#endif
/* An agent reserves resources for a generation again only if the placement is
 * the one of the first reservation: two drivers may prepare the same generation
 * with different placements, and a start names only the generation. */
#ifdef REHOLD_ANY
#define MAY_RESERVE(e) (state[a] == EMPTY)
#else
#define MAY_RESERVE(e) \
  (state[a] == EMPTY && \
   (first_owner[a * 3 + g] == 0 || first_owner[a * 3 + g] == e + 1))
#endif

inline reply(bits)
{
  replies[g * 2 + MEMBER(a)] = replies[g * 2 + MEMBER(a)] | bits
}

inline clear_member()
{
  state[a] = EMPTY; generation[a] = 0; owner[a] = 0; last_ack[a] = 0;
  ack_remaining[a] = 0; round_no[a] = 0; round_age[a] = 0
}

inline handle_prepare(e)
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
  :: stopped_mask[a] & BIT(g) -> reply(STOPPED)
  :: else -> refused_mask[a] = refused_mask[a] | BIT(g); reply(NEVER_STARTED)
  fi
}

inline handle_start()
{
  if
  :: !ADDRESSED(committed_incarnation[g * 2 + MEMBER(a)]) ->
     reply(OTHER_INCARNATION)
  :: else ->
     if
     :: state[a] == HELD && generation[a] == g ->
        state[a] = STARTED;
        started_mask[g] = started_mask[g] | (1 << MEMBER(a))
     :: state[a] >= STARTED && generation[a] == g
     :: else -> refuse()
     fi
  fi
}

inline handle_stop()
{
  if
  :: !ADDRESSED(committed_incarnation[g * 2 + MEMBER(a)]) ->
     reply(OTHER_INCARNATION)
  :: else ->
     if
     :: generation[a] == g && state[a] >= STARTED ->
        if
        :: running[a] == g -> running[a] = 0; lease[a] = 0
        :: else
        fi;
#ifdef STARTED_AS_NEVER
        if
        :: state[a] == STARTED ->
           refused_mask[a] = refused_mask[a] | BIT(g); reply(NEVER_STARTED)
        :: else -> stopped_mask[a] = stopped_mask[a] | BIT(g); reply(STOPPED)
        fi;
#else
        stopped_mask[a] = stopped_mask[a] | BIT(g);
        reply(STOPPED);
#endif
        clear_member()
     :: generation[a] == g && state[a] == HELD -> clear_member(); refuse()
     :: else -> refuse()
     fi
  fi
}

/* Applies the deadline of the last acknowledged renewal round, and starts the
 * task at the first call. */
inline renew_lease()
{
  if
  :: state[a] == STARTED && ack_remaining[a] > 0 && running[a] == 0 &&
       newest_generation[a] <= generation[a] ->
     assert(started_mask[generation[a]] == ALL_MEMBERS);
     assert(owner[a] == committed_owner[generation[a]]);
     state[a] = OPEN; running[a] = generation[a];
     newest_generation[a] = running[a];
     lease[a] = ack_remaining[a];
#ifdef REACH
     assert(!(running[a] == 2 && ran));
#endif
     ran = 1;
     check_outcome();
     check_single_generation()
  :: state[a] == OPEN && running[a] == generation[a] && ack_remaining[a] > 0 ->
     lease[a] = ack_remaining[a]
  :: else
  fi
}

inline check_single_generation()
{
  for (other : 0 .. AGENTS - 1) {
    assert(running[other] == 0 || running[other] == running[a])
  };
  other = 0
}

#define IS_LEAD (MEMBER(a) == 0 && state[a] >= STARTED)
#define IS_FOLLOWER (MEMBER(a) == 1 && state[a] >= STARTED)
#define NEXT_ROUND_IN(bits) ((bits) & BIT(last_ack[a] + 1))

inline send_round()
{
  round_no[a]++;
  round_age[a] = 0;
  ack_remaining[a] = LEASE;
  round_sent[generation[a]] = round_sent[generation[a]] | BIT(round_no[a])
}

#define IN_TIME (round_age[a] <= ROUND_LIMIT)
#ifdef OPEN_EARLY
#define COMPLETE (round_no[a] == 1 || round_acked[generation[a]] & BIT(round_no[a]))
#else
#define COMPLETE (round_acked[generation[a]] & BIT(round_no[a]))
#endif

#define PREPARE_SENT_TO(e, n) (prepare_sent[e] & BIT(n)) && PLACED(a, n) && \
  ADDRESSED(addressed_incarnation[(e) * 6 + (n) * 2 + MEMBER(a)])
#define MESSAGES(n) \
  :: d_step { PREPARE_SENT_TO(0, n) -> g = n; \
       if \
       :: !REFUSES(g) && (MAY_RESERVE(0) || RESERVED_FOR(0)) -> \
          handle_prepare(0) \
       :: else \
       fi; g = 0 } \
  :: d_step { PREPARE_SENT_TO(1, n) -> g = n; \
       if \
       :: !REFUSES(g) && (MAY_RESERVE(1) || RESERVED_FOR(1)) -> \
          handle_prepare(1) \
       :: else \
       fi; g = 0 } \
  :: d_step { PLACED(a, n) && (release_sent & BIT(n)) && \
       state[a] == HELD && generation[a] == n -> \
       refused_mask[a] = refused_mask[a] | BIT(n); clear_member() } \
  :: d_step { PLACED(a, n) && (start_sent & BIT(n)) -> \
       g = n; handle_start(); g = 0 } \
  :: d_step { PLACED(a, n) && (stop_sent & BIT(n)) -> \
       g = n; handle_stop(); g = 0 }

proctype Agent(byte a)
{
  byte g, other;
  do
  MESSAGES(1)
  MESSAGES(2)
  :: d_step { state[a] == HELD -> clear_member() } /* The reservation expires. */
  :: d_step { restarts < RESTARTS && incarnation[a] < 2 ->
       restarts++; incarnation[a] = 2;
       refused_mask[a] = 0; stopped_mask[a] = 0;
       first_owner[a * 3 + 1] = 0; first_owner[a * 3 + 2] = 0; clear_member() }
  :: d_step { IS_LEAD && round_no[a] == 0 -> send_round() }
  :: d_step { IS_LEAD && round_no[a] > 0 && round_no[a] < ROUNDS && COMPLETE &&
       IN_TIME ->
       renew_lease(); send_round() }
  :: d_step { IS_FOLLOWER && NEXT_ROUND_IN(round_sent[generation[a]]) ->
       if
       :: last_ack[a] > 0 -> renew_lease()
       :: else
       fi;
       last_ack[a]++;
       ack_remaining[a] = LEASE;
       round_acked[generation[a]] = round_acked[generation[a]] | BIT(last_ack[a]) }
  od
}

/* --- Time --------------------------------------------------------------- */

inline decrement(x)
{
  if
  :: x > 0 -> x = x - 1
  :: else
  fi
}

inline tick_agent(a)
{
  decrement(lease[a]);
  if
  :: lease[a] == 0 -> running[a] = 0 /* The backend server ends the task. */
  :: else
  fi;
  decrement(ack_remaining[a]);
  if
  :: round_no[a] > 0 && round_age[a] <= ROUND_LIMIT -> round_age[a]++
  :: else
  fi
}

#define TIMER_SET(a) \
  (lease[a] > 0 || ack_remaining[a] > 0 || \
   (round_no[a] > 0 && round_age[a] <= ROUND_LIMIT))

#ifdef UNTIMED
#define ANY_TIMER_SET false
#elif defined(DISJOINT)
#define ANY_TIMER_SET \
  (TIMER_SET(0) || TIMER_SET(1) || TIMER_SET(2) || TIMER_SET(3))
#else
#define ANY_TIMER_SET (TIMER_SET(0) || TIMER_SET(1))
#endif

active proctype Clock()
{
  byte i;
  do
  :: d_step {
       wait_remaining[0] > 0 || wait_remaining[1] > 0 || ANY_TIMER_SET ->
       for (i : 0 .. AGENTS - 1) { tick_agent(i) };
       i = 0;
       decrement(wait_remaining[0]);
       decrement(wait_remaining[1])
     }
  od
}

/* LEASE_PART starts with generation 1 committed by entry 0, which stopped before
 * it sent a start. */
inline start_committed()
{
  row_state = RUNNING; row_generation = 1; row_version = 2;
  committed_owner[1] = 1;
  committed_incarnation[2] = 1; committed_incarnation[3] = 1;
  prepare_sent[0] = BIT(1);
  addressed_incarnation[2] = 1; addressed_incarnation[3] = 1;
  state[AGENT(1, 0)] = HELD; state[AGENT(1, 1)] = HELD;
  generation[AGENT(1, 0)] = 1; generation[AGENT(1, 1)] = 1;
  owner[AGENT(1, 0)] = 1; owner[AGENT(1, 1)] = 1;
  first_owner[AGENT(1, 0) * 3 + 1] = 1; first_owner[AGENT(1, 1) * 3 + 1] = 1
}

init
{
  byte i;
  atomic {
    for (i : 0 .. AGENTS - 1) { incarnation[i] = 1; run Agent(i) };
    i = 0;
#ifdef LEASE_PART
    start_committed();
#else
    run Entry(0);
#endif
    run Entry(1)
  }
}
