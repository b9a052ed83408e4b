/* A call that may not be repeated, with an idempotency key, sent through two
 * entry hosts; each may crash. A claim is made by conditional create before
 * the call is dispatched; its answer may be lost.
 *
 * Rules that can be taken out, each of which must then break an assertion:
 *   NO_CLAIM     the call is dispatched without a claim
 *   NO_OWNER     a conflict is taken for the own claim whoever made it
 *   NO_OUTCOME   a crash's successor says "not run" without looking
 */
byte claim_owner = 255;       /* the claim object; 255: there is none */
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
     skip    /* told: it may have run; the claim's owner has the outcome */
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
