/* Model of the renewal rounds of a gang of three (docs/design.md, section 10):
 * once a member is lost, the other members stop within the sum of the lease and
 * the round limit. A round or an acknowledgement can be late or lost, and the
 * lead or a member can be paused at any point. Time is discrete: each tick
 * decrements all timers.
 *
 * Mutants: each of these switches introduces a fault that the search must find:
 *   NO_ROUND_LIMIT    a round may complete late
 *   RENEW_FROM_NOW    the lease starts when the member learns that the round is
 *                     complete
 *   INCOMPLETE_ROUND  a round completes with one member's acknowledgement
 *   TIGHTER_BOUND     the bound is one tick smaller; its failure shows that the
 *                     bound is not larger than needed */

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

byte round_sent, acked[MEMBERS]; /* One bit per round. */
byte last_ack[MEMBERS], ack_remaining[MEMBERS], lease[MEMBERS];
byte round_no = 1, round_age;
bit ended[MEMBERS];
bool member_lost;
byte ticks_since_loss;

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

/* Applies the deadline of the last acknowledged round. A lease that has expired
 * is not renewed. */
inline renew_lease(m)
{
  if
  :: (last_ack[m] == 1 || lease[m] > 0) && ack_remaining[m] > 0 ->
#ifdef RENEW_FROM_NOW
     lease[m] = LEASE
#else
     lease[m] = ack_remaining[m]
#endif
  :: else
  fi
}

proctype Lead()
{
  do
  :: d_step {
       !ended[0] && round_no < ROUNDS && COMPLETE && IN_TIME ->
       renew_lease(0);
       round_no++; round_age = 0;
       ack_remaining[0] = LEASE; last_ack[0] = round_no;
       round_sent = round_sent | BIT(round_no)
     }
  od
}

proctype Follower(byte m)
{
  do
  :: d_step {
       !ended[m] && (round_sent & BIT(last_ack[m] + 1)) ->
       if
       :: last_ack[m] > 0 -> renew_lease(m)
       :: else
       fi;
       last_ack[m]++;
       ack_remaining[m] = LEASE;
       acked[m] = acked[m] | BIT(last_ack[m])
     }
  od
}

/* Ends one member at an arbitrary time. */
proctype Loss()
{
  byte m;
  if
  :: m = 0
  :: m = 1
  :: m = 2
  fi;
  d_step { lease[m] > 0 -> ended[m] = 1; lease[m] = 0; member_lost = 1 }
}

inline decrement(x)
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
       ticks_since_loss <= BOUND ->
       for (i : 0 .. MEMBERS - 1) {
         decrement(lease[i]);
         decrement(ack_remaining[i])
       };
       i = 0;
       if
       :: round_age <= ROUND_LIMIT -> round_age++
       :: else
       fi;
       if
       :: member_lost -> ticks_since_loss++
       :: else
       fi;
       assert(ticks_since_loss < BOUND ||
              (lease[0] == 0 && lease[1] == 0 && lease[2] == 0))
     }
  od
}

init
{
  atomic {
    round_sent = BIT(1); last_ack[0] = 1; ack_remaining[0] = LEASE;
    run Lead(); run Follower(1); run Follower(2); run Loss(); run Clock()
  }
}
