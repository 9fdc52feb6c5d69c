#!/bin/sh
# Puts the three files that the bench wants beside a site there: they are the operators', so the repository does not keep them (.gitignore).
# Use: deploy/sites/fetch.sh ../given/kit/sites
set -eu
from=${1:?"the operators' folder of sites is missing, as in: deploy/sites/fetch.sh ../given/kit/sites"}
here=$(dirname "$0")
for file in real.json wire.json unlock.txt; do
    [ -f "$from/$file" ] || { echo "$from/$file is not there" >&2; exit 1; }
done
for file in real.json wire.json unlock.txt; do
    cp "$from/$file" "$here/$file.new"
    chmod u+w "$here/$file.new"
    mv "$here/$file.new" "$here/$file"
done
