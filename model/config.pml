/* Configuration in one data hall. Two nodes push it to each other, lose all
 * state when they restart, and may be cut off from the platform at any time. A
 * node serves callers only once it is ready.
 *
 * Each of these rules can be removed, and an assertion must then fail:
 *   NO_UPWARD  a node applies every revision it receives, also an older one
 *   NO_WAIT    a restarted node becomes ready before it has the revision of
 *              its peers
 */
#define LAST 3

byte head = 1;              /* the accepted revision */
byte at[2];                 /* in force at each node; 0: none yet */
bool ready[2];
byte served[2];             /* the highest revision each node served with */
byte hall_served = 0;       /* the highest any node of the hall served with */
chan news = [2] of { byte, byte };   /* receiver, revision; in any order */

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
       /* Become ready with the highest revision of all reachable peers. */
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
       /* Restart without stored state. The load balancer then sends this node
        * callers that the other node has served; they must not get an older
        * revision than before. */
       ready[1 - me] ->
       at[me] = 0;
       ready[me] = false;
       served[me] = served[1 - me]
     }
  od
}
