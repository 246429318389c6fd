/* Renewal rounds of a gang of three (docs/design.md, section 10): once a member
 * is lost, the others stop within the lease and the round limit together. A
 * round or an acknowledgement may be late or lost; the lead or a member may be
 * paused at any point. Time is discrete: a tick lowers every timer.
 *
 * Mutants, each of which must be reported: NO_ROUND_LIMIT (a round may complete
 * late), RENEW_FROM_NOW (the lease runs from the news of a complete round),
 * INCOMPLETE_ROUND (one member's acknowledgement is enough), TIGHTER_BOUND (the
 * bound is not larger than needed). */

#define MEMBERS 3
#define LEASE 3
#define ROUND_LIMIT 1
#define ROUNDS 4
#ifdef TIGHTER_BOUND
#define BOUND (LEASE + ROUND_LIMIT - 1)
#else
#define BOUND (LEASE + ROUND_LIMIT)
#endif

#define BIT(k) (1 << (k))

byte round_sent, acked[MEMBERS]; /* Bits by round. */
byte last_ack[MEMBERS], ack_left[MEMBERS], lease[MEMBERS];
byte round_no = 1, round_age;
bit gone[MEMBERS];
bool lost;
byte lost_age;

#ifdef NO_ROUND_LIMIT
#define IN_TIME true
#else
#define IN_TIME (round_age <= ROUND_LIMIT)
#endif
#ifdef INCOMPLETE_ROUND
#define COMPLETE ((acked[1] | acked[2]) & BIT(round_no))
#else
#define COMPLETE (acked[1] & acked[2] & BIT(round_no))
#endif

/* The deadline of the last acknowledged round takes effect; a lease that has
 * expired is not renewed. */
inline extend(m)
{
  if
  :: (last_ack[m] == 1 || lease[m] > 0) && ack_left[m] > 0 ->
#ifdef RENEW_FROM_NOW
     lease[m] = LEASE
#else
     lease[m] = ack_left[m]
#endif
  :: else
  fi
}

proctype Lead()
{
  do
  :: d_step {
       !gone[0] && round_no < ROUNDS && COMPLETE && IN_TIME ->
       extend(0);
       round_no++; round_age = 0; ack_left[0] = LEASE; last_ack[0] = round_no;
       round_sent = round_sent | BIT(round_no)
     }
  od
}

proctype Follower(byte m)
{
  do
  :: d_step {
       !gone[m] && (round_sent & BIT(last_ack[m] + 1)) ->
       if
       :: last_ack[m] > 0 -> extend(m)
       :: else
       fi;
       last_ack[m]++;
       ack_left[m] = LEASE;
       acked[m] = acked[m] | BIT(last_ack[m])
     }
  od
}

/* Ends one member at any time. */
proctype Loss()
{
  byte m;
  if
  :: m = 0
  :: m = 1
  :: m = 2
  fi;
  d_step { lease[m] > 0 -> gone[m] = 1; lease[m] = 0; lost = 1 }
}

inline lower(x)
{
  if
  :: x > 0 -> x = x - 1
  :: else
  fi
}

proctype Clock()
{
  byte i;
  do
  :: d_step {
       lost_age <= BOUND ->
       for (i : 0 .. MEMBERS - 1) { lower(lease[i]); lower(ack_left[i]) };
       i = 0;
       if
       :: round_age <= ROUND_LIMIT -> round_age++
       :: else
       fi;
       if
       :: lost -> lost_age++
       :: else
       fi;
       assert(lost_age < BOUND ||
              (lease[0] == 0 && lease[1] == 0 && lease[2] == 0))
     }
  od
}

init
{
  atomic {
    round_sent = BIT(1); last_ack[0] = 1; ack_left[0] = LEASE;
    run Lead(); run Follower(1); run Follower(2); run Loss(); run Clock()
  }
}
