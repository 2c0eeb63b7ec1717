#!/usr/bin/env bash
# Three searchers in five send some answers that have no length and are reset on the way, behind an extra copy of the answer
# before. Exits with 1 if a consumer gets a success with another body than that of its searcher, 0 if none does, and 2 if the
# case could not run. TROUBLE=0 lets all answers be whole.
cd "$(dirname "$0")" || exit 2
standin=../../bin/review-standin2 program=../../target/wasabirelay-node
[ -x $standin ] && [ -x $program ] || { echo "build the deploy file and review/build-2.sh first" >&2; exit 2; }
exec $standin reset-on-the-way $program record.txt
