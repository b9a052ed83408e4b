/* A call that must not be repeated is sent with an idempotency key through two
 * entry hosts, either of which may crash. Before it dispatches the call, an
 * entry host claims it by conditional create; the response to the create may be
 * lost.
 *
 * Each of these rules can be removed, and an assertion must then fail:
 *   NO_CLAIM     the call is dispatched without a claim
 *   NO_OWNER     any conflict counts as a claim of the entry host itself,
 *                whoever made the claim
 *   NO_OUTCOME   the entry host without the claim reports "not run" without
 *                reading the outcome
 */
byte claim_owner = 255;       /* who made the claim; 255: no claim */
bool dispatched[2];
byte runs = 0;
byte lost_answers = 0;
byte said_not_run = 0;

#define MOST_LOST 2

proctype entry(byte me)
{
  bool mine = false, other = false, unanswered;
#ifdef NO_CLAIM
  mine = true;
#else
send:
  unanswered = false;
  atomic {
    if
    :: claim_owner == 255 ->
       claim_owner = me;
       if
       :: lost_answers < MOST_LOST -> lost_answers++; unanswered = true
       :: mine = true
       fi
    :: claim_owner != 255 ->
       if
       :: lost_answers < MOST_LOST -> lost_answers++; unanswered = true
#ifdef NO_OWNER
       :: mine = true
#else
       :: mine = claim_owner == me; other = !mine
#endif
       fi
    fi
  }
  if
  :: unanswered -> goto send
  :: unanswered -> goto crash
  :: !unanswered -> skip
  fi;
#endif
  if
  :: mine ->
     if
     :: goto crash
     :: atomic { dispatched[me] = true; runs++; assert(runs <= 1) }
     fi
  :: other ->
#ifdef NO_OUTCOME
     said_not_run++;
#else
     skip    /* reports "may have run"; the claim's owner has the outcome */
#endif
  fi;
crash:
  assert(said_not_run == 0 || runs == 0);
}

init {
  atomic {
    run entry(0);
    run entry(1);
  }
}
