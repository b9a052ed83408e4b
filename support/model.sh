#!/usr/bin/env bash
# Verifies each model in model/ with Spin, and each of its mutants, which lack
# one rule. A mutant must fail, or else the model does not check that rule.
set -euo pipefail
cd "$(dirname "$0")/.."
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# verify MODEL [RULE]: prints the number of errors and of stored states, or
# "timeout" or "depth" if the time limit or the search depth was too small.
verify() {
  local dir=$work/$1-${2:-whole}
  mkdir -p "$dir"
  (
    cd "$dir"
    spin -a ${2:+-D$2} "$OLDPWD/model/$1.pml" >spin.log 2>&1
    gcc -O2 -w -DSAFETY -DNOFAIR -DCOLLAPSE -DMEMLIM=4096 -o pan pan.c
    timeout 100 ./pan -m1000000 -E >pan.log 2>&1 ||
      { [ $? -eq 124 ] && echo "timeout" && exit; }
    grep -q 'max search depth too small' pan.log && echo "depth" && exit
    awk '/errors:/ {e=$NF} /states, stored/ {s=$1} END {print e, s}' pan.log
  )
}

failed=0
for file in model/*.pml; do
  name=$(basename "$file" .pml)
  read -r errors states < <(verify "$name")
  echo "model $name: errors $errors, states $states"
  [ "$errors" = 0 ] || failed=1
  for rule in $(grep -oE '\bNO_[A-Z]+' "$file" | sort -u); do
    read -r errors states < <(verify "$name" "$rule")
    if [ "${errors:-0}" -gt 0 ] 2>/dev/null; then
      echo "  without $rule: fails as expected"
    else
      echo "  without $rule: NOT DETECTED (errors ${errors:-?})"
      failed=1
    fi
  done
done
[ $failed -eq 0 ] && echo "models: ok"
exit $failed
