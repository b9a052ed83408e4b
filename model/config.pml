/* Configuration at one data hall: two nodes that push to each other, restart
 * with nothing kept, and are cut from the platform at will. A node takes
 * callers only once it is ready.
 *
 * Rules that can be taken out, each of which must then break an assertion:
 *   NO_UPWARD  a node takes any revision that it hears of
 *   NO_WAIT    a restarted node is ready before it has heard its peers
 */
#define LAST 3

byte head = 1;              /* the accepted revision */
byte at[2];                 /* in force at each node; 0: none yet */
bool ready[2];
byte served[2];             /* the highest revision each node served with */
byte hall_served = 0;       /* the highest any node of the hall served with */
chan news = [2] of { byte, byte };   /* to, revision: reordered at will */

active proctype operator()
{
  do
  :: head < LAST -> head++
  :: head == LAST -> break
  od
}

#define TAKE(n, r) \
  if \
  :: r > at[n] -> at[n] = r \
  :: r <= at[n] -> skip \
  fi

active [2] proctype node()
{
  byte me = _pid - 1;
  byte heard, to;
  do
  :: atomic { at[me] < head -> at[me] = head }     /* the platform's watch */
  :: atomic {
       at[me] > 0 && nfull(news) -> news ! 1 - me, at[me]
     }
  :: atomic {
       news ?? eval(me), heard ->
#ifdef NO_UPWARD
       at[me] = heard
#else
       TAKE(me, heard)
#endif
     }
  :: atomic {
       /* Ready with the highest revision of the peers it can reach. */
       !ready[me] && at[me] > 0 ->
#ifndef NO_WAIT
       TAKE(me, at[1 - me]);
#endif
       ready[me] = true
     }
  :: atomic {
       ready[me] ->
       assert(at[me] >= served[me]);
       served[me] = at[me];
       if
       :: at[me] > hall_served -> hall_served = at[me]
       :: at[me] <= hall_served -> skip
       fi
     }
  :: atomic {
       /* Restart: nothing is kept. The balancer's callers remember. */
       ready[1 - me] ->
       at[me] = 0;
       ready[me] = false;
       served[me] = served[1 - me]
     }
  od
}
