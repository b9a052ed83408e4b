/* Lease, placement, fencing and opening of groups in one data hall.
 *
 * Two controllers compete for one lease and share one placement document, both
 * changed by conditional update. There are two hosts: host 0 checks fencing
 * numbers, host 1 ignores them. A placement assigns both hosts to group 1 or
 * group 2. A controller may pause at any point, an order may arrive late, and
 * the platform's response to a write may be lost. One entry host opens a group
 * when the placement marks it as serving and both hosts report that group and
 * incarnation.
 *
 * Time is abstract: the lease expires by an event. The holder sees the expiry
 * before the other controller, because it counts from before it sent the write.
 *
 * Each of these rules can be removed, and an assertion must then fail:
 *   NO_CAS      the placement is written without its condition
 *   NO_TAKEOVER a new holder relies on the placement before it has written it
 *               under its own fencing number
 *   NO_FENCE    host 0 accepts orders with an old fencing number
 *   NO_REPORT   the entry host opens a group without the hosts' reports
 *   NO_INCARN   the entry host compares groups, but not incarnations
 */
#define NONE 255

byte lease_holder = NONE;      /* the lease document */
byte lease_fence = 0;
bool lapsed = true;            /* the other controller may take over */
bool holds[2];                 /* may each controller rely on the lease */

byte doc_version = 0;          /* the placement document */
byte doc_fence = 0;
byte doc_group = 0;
byte doc_incarnation = 0;
bool doc_serving = false;
byte newest_fence = 0;         /* highest fencing number written to it */

byte host_fence[2];            /* what each host accepted and reports */
byte host_group[2];
byte host_incarnation[2];

/* At most one order in flight from each controller, to either host. */
bool order_out[2];
byte order_host[2];
byte order_fence[2];
byte order_group[2];
byte order_incarnation[2];
byte relied_fence = 0;         /* highest fencing number of an order */

#define MAX_FENCE 2
#define MAX_INCARNATION 3

active [2] proctype controller()
{
  byte me = _pid;
  byte my_fence, seen_version, seen_group, seen_incarnation, next;
  bool fresh, serving;

start:
  do
  :: atomic {
       /* Take over the lease under a higher fencing number. */
       lapsed && lease_fence < MAX_FENCE ->
       lapsed = false;
       lease_fence++;
       lease_holder = me;
       holds[me] = true;
       holds[1 - me] = false;
       my_fence = lease_fence;
     }
     /* Read the placement. */
     atomic {
       seen_version = doc_version;
       seen_group = doc_group;
       seen_incarnation = doc_incarnation;
       serving = doc_serving;
     }
     fresh = false;
#ifndef NO_TAKEOVER
     /* Write it once under the new fencing number, so that no write of a
      * previous holder can follow. */
     if
     :: atomic {
          holds[me] && doc_version == seen_version && doc_fence <= my_fence ->
          doc_version++;
          doc_fence = my_fence;
          seen_version = doc_version;
          assert(my_fence >= newest_fence);
          newest_fence = my_fence;
          fresh = true;
        }
     :: atomic { doc_version != seen_version || doc_fence > my_fence -> skip }
     :: !holds[me] -> skip
     fi;
#else
     fresh = true;
#endif
     do
     :: fresh && holds[me] && seen_incarnation < MAX_INCARNATION ->
        /* A pause may follow the check, so the write itself must be safe. */
        next = seen_group % 2 + 1;
        if
        :: atomic {
#ifdef NO_CAS
             true ->
#else
             doc_version == seen_version ->
#endif
             assert(my_fence >= newest_fence && my_fence >= relied_fence);
             newest_fence = my_fence;
             doc_version++;
             doc_fence = my_fence;
             doc_group = next;
             seen_incarnation++;
             doc_incarnation = seen_incarnation;
             doc_serving = false;
             seen_version = doc_version;
             seen_group = next;
             serving = false;
           }
        :: atomic { doc_version != seen_version -> fresh = false }
        fi
     :: fresh && holds[me] && seen_group != 0 && !order_out[me] ->
        /* A pause may fall between the check of the lease and the sending. */
        atomic {
          order_out[me] = true;
          order_fence[me] = my_fence;
          order_group[me] = seen_group;
          order_incarnation[me] = seen_incarnation;
          if
          :: order_host[me] = 0
          :: order_host[me] = 1
          fi;
          if
          :: my_fence > relied_fence -> relied_fence = my_fence
          :: my_fence <= relied_fence -> skip
          fi
        }
     :: atomic {
          /* All members are ready: mark the group as serving. */
          fresh && holds[me] && seen_group != 0 && !serving &&
          host_group[0] == seen_group && host_group[1] == seen_group &&
          host_incarnation[0] == seen_incarnation &&
          host_incarnation[1] == seen_incarnation &&
          doc_version == seen_version ->
          doc_version++;
          doc_serving = true;
          serving = true;
          seen_version = doc_version;
        }
     :: atomic { !fresh || !holds[me] -> fresh = false; break }
     od
  od
}

/* The lease expires, first for its holder, then for the other controller. */
active proctype lapse()
{
  do
  :: atomic { lease_holder != NONE && holds[lease_holder] ->
       holds[lease_holder] = false }
  :: atomic { lease_holder != NONE && !holds[lease_holder] && !lapsed ->
       lapsed = true }
  od
}

/* Orders arrive at any time and in any order; some are lost. */
active proctype network()
{
  byte slot, host;
  do
  :: atomic {
       if
       :: order_out[0] -> slot = 0
       :: order_out[1] -> slot = 1
       fi;
       host = order_host[slot];
       if
#ifndef NO_FENCE
       :: host == 0 && order_fence[slot] < host_fence[0] -> skip
       :: !(host == 0 && order_fence[slot] < host_fence[0]) ->
#else
       :: true ->
#endif
          assert(host != 0 || order_fence[slot] >= host_fence[0]);
          host_fence[host] = order_fence[slot];
          host_group[host] = order_group[slot];
          host_incarnation[host] = order_incarnation[slot]
       :: skip
       fi;
       order_out[slot] = false;
       order_host[slot] = 0;
       order_fence[slot] = 0;
       order_group[slot] = 0;
       order_incarnation[slot] = 0;
       slot = 0;
       host = 0
     }
  od
}

/* The entry host opens the group and sends requests; the assertions compare
 * the group with the state of the hosts. */
active proctype entry()
{
  byte g, i;
  bool ok;
  do
  :: atomic {
       doc_serving ->
       g = doc_group;
       i = doc_incarnation;
#ifdef NO_REPORT
       ok = true;
#else
       ok = host_group[0] == g && host_group[1] == g;
#ifndef NO_INCARN
       ok = ok && host_incarnation[0] == i && host_incarnation[1] == i;
#endif
#endif
       if
       :: ok ->
          /* A group that gets requests has all its members. */
          assert(host_group[0] == g && host_group[1] == g);
          assert(host_incarnation[0] == i && host_incarnation[1] == i);
       :: !ok -> skip
       fi;
       g = 0;
       i = 0;
       ok = false
     }
  od
}
