/* A document changed by conditional update by two writers, while answers get
 * lost. Each writer makes one write and settles it: it sends again after an
 * unanswered call, and on a conflict reads back and looks for its write id
 * among the last ids that the document remembers.
 *
 * Rules that can be taken out, each of which must then break an assertion:
 *   NO_READBACK  a conflict is taken for a lost race at once
 *   NO_CONDITION the write is sent again without its condition
 *   NO_IDS       the read-back looks at the latest write alone
 */
byte version = 0;
bool remembered[3];      /* write ids in the document */
byte latest = 255;       /* id of the latest write */
byte effects[3];         /* how often each write took effect */
byte lost_answers = 0;

#define MOST_LOST 3

proctype writer(byte id)
{
  byte base;
  bool applied = false, conflict, unanswered;

  base = version;
send:
  conflict = false;
  unanswered = false;
  atomic {
    if
#ifdef NO_CONDITION
    :: true ->
#else
    :: version == base ->
#endif
       version++;
       remembered[id] = true;
       latest = id;
       effects[id]++;
       if
       :: lost_answers < MOST_LOST -> lost_answers++; unanswered = true
       :: applied = true
       fi
#ifndef NO_CONDITION
    :: version != base ->
       if
       :: lost_answers < MOST_LOST -> lost_answers++; unanswered = true
       :: conflict = true
       fi
#endif
    fi
  }
  if
  :: unanswered -> goto send
  :: applied -> goto done
  :: conflict -> skip
  fi;
#ifndef NO_READBACK
  atomic {
#ifdef NO_IDS
    applied = latest == id;
#else
    applied = remembered[id];
#endif
  }
#endif
done:
  /* The writer's word is the truth, and no write took effect twice. */
  assert(applied == (effects[id] > 0));
  assert(effects[id] <= 1);
}

init {
  atomic {
    run writer(0);
    run writer(1);
    run writer(2);
  }
}
