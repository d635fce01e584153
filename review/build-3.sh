#!/usr/bin/env bash
# Builds the cases of the third review and their stand-ins into target/review-3.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rm -f target/review-3/*
flags=(-std=c++20 -O1 -g -Wall -Wextra -Wno-missing-field-initializers -pthread -I review/standins-3)
for source in net store deployment; do
    g++ "${flags[@]}" -c "review/standins-3/$source.cpp" -o "target/review-3/$source.o" &
done
for folder in review/1[1-5]; do
    [ -e "$folder/program.cpp" ] && g++ "${flags[@]}" -c "$folder/program.cpp" -o "target/review-3/case-${folder##*/}.o" &
done
wait
for folder in review/1[1-5]; do
    [ -e "$folder/program.cpp" ] || continue
    g++ -pthread target/review-3/{net,store,deployment}.o "target/review-3/case-${folder##*/}.o" \
        -o "target/review-3/case-${folder##*/}"
done
