/* Three writers change one document by conditional update, and responses may be
 * lost. Each writer makes one write and determines whether it took effect: it
 * resends a write whose response was lost, and after a conflict it reads the
 * document and looks for its write id among the recent ids stored there.
 *
 * Each of these rules can be removed, and an assertion must then fail:
 *   NO_READBACK  a conflict counts as a lost race without reading the document
 *   NO_CONDITION the write is sent and resent without its condition
 *   NO_IDS       after a conflict only the id of the latest write is compared
 */
byte version = 0;
bool remembered[3];      /* recent write ids, in the document */
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
  /* The writer reports the true outcome, and no write took effect twice. */
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
