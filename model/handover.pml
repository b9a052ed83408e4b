/* Hand-over of host M from one serving group to another, by holders of a lease.
 * H is the head of group 1 and M a member of it. Orders may be carried out
 * late, after newer ones, and their responses may be lost. A holder may freeze
 * after it has decided on an order, lose the lease meanwhile, and then send the
 * order.
 *
 * The condition on the number of orders is not among the rules below: a late
 * order cannot open a head again that has left, with or without the condition.
 *
 * Each of these rules can be removed, and the assertion must then fail:
 *   NO_LEAVE      M joins group 2 before a leave was acknowledged
 *   NO_ANSWER     a leave without a response counts as done
 */
#define NONE 0
#define READY 1
#define OPEN 2

byte head_phase = READY;      /* H in group 1 */
byte member_group = 1;
byte head_orders = 0, member_orders = 0;

mtype = { open_h, leave_h, leave_m, join_m };
/* Orders in flight: the kind, and how many orders the sender expects the server
 * to have begun. */
chan late = [3] of { mtype, byte };
byte sent = 0;
#define MOST_SENT 7

bool carried;

/* A server carries out an order only if it has begun as many as expected. */
inline carry(what, expected)
{
  carried = false;
  if
  :: what == open_h || what == leave_h ->
     if
     :: expected == head_orders ->
        if
        :: what == open_h && head_phase == READY ->
           head_phase = OPEN; head_orders++; carried = true
        :: what == leave_h && head_phase != NONE ->
           head_phase = NONE; head_orders++; carried = true
        :: else
        fi
     :: else
     fi
  :: else ->
     if
     :: expected == member_orders ->
        if
        :: what == leave_m && member_group == 1 ->
           member_group = 0; member_orders++; carried = true
        :: what == join_m && member_group != 2 ->
           /* No host joins another group while its own head may still serve. */
           assert(!(member_group == 1 && head_phase == OPEN));
           member_group = 2; member_orders++; carried = true
        :: else
        fi
     :: else
     fi
  fi
}

/* A holder decides on an order and sends it, and may freeze in between. */
proctype holder()
{
  mtype what;
  byte expected;
  bool released;
end:
  do
  :: sent < MOST_SENT ->
     atomic {
       /* Read the state of the servers and decide. */
       if
       :: head_phase == READY -> what = open_h; expected = head_orders
       :: head_phase != NONE -> what = leave_h; expected = head_orders
       :: member_group == 1 -> what = leave_m; expected = member_orders
#ifdef NO_LEAVE
       :: member_group != 2 -> what = join_m; expected = member_orders
#else
       :: released || member_group == 0 || head_phase == NONE ->
          what = join_m; expected = member_orders
#endif
       :: else -> goto done
       fi;
       sent++
     }
     /* Another holder, or a late order, may act in between. */
     atomic {
       if
       :: nfull(late) -> late!what, expected;   /* carried out late */
#ifdef NO_ANSWER
          if :: what == leave_h -> released = true :: else fi
#endif
       :: true -> carry(what, expected);
          if
          :: carried && what == leave_h -> released = true
          :: true                              /* the response is lost */
          fi
       :: true                                 /* the order is lost */
       fi;
       what = 0; expected = 0
     }
  :: else -> break
  od;
done:
  skip
}

/* The network delivers delayed orders at any time. */
proctype network()
{
  mtype what;
  byte expected;
end:
  do
  :: atomic { late??what, expected -> carry(what, expected); what = 0; expected = 0 }
  od
}

init { atomic { run holder(); run holder(); run network() } }
