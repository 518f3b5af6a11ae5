#!/usr/bin/env python3
"""Runs clang-tidy on one source file, or skips it if it passed before with the same input.

The cache key is the hash of the preprocessed source, the check settings and the version of
clang-tidy, so a hit means that the linter would read the same text again.
"""
import hashlib
import json
import os
import pathlib
import shlex
import subprocess
import sys


def preprocessed(build_dir, source):
    entries = json.loads((pathlib.Path(build_dir) / "compile_commands.json").read_text())
    for entry in entries:
        if os.path.samefile(entry["file"], source):
            words = shlex.split(entry["command"])
            words = [w for w in words if not w.endswith("ccache")]
            out = words.index("-o")
            del words[out : out + 2]
            words = [w for w in words if w != "-c"]
            return subprocess.run(
                words + ["-E", "-P", "-C"], cwd=entry["directory"], check=True, capture_output=True
            ).stdout
    sys.exit(f"{source} is not part of the build")


def main():
    build_dir, source = sys.argv[1:3]
    cache = pathlib.Path(os.environ.get("XDG_CACHE_HOME", pathlib.Path.home() / ".cache")) / "skylarkdyke-tidy"
    cache.mkdir(parents=True, exist_ok=True)
    version = subprocess.run(["clang-tidy", "--version"], check=True, capture_output=True).stdout
    text = preprocessed(build_dir, source) + pathlib.Path(".clang-tidy").read_bytes() + version
    stamp = cache / hashlib.sha256(text).hexdigest()
    if stamp.exists():
        return 0
    result = subprocess.run(["clang-tidy", "--quiet", "-p", build_dir, source], capture_output=True, text=True)
    if result.returncode != 0:
        print(result.stdout, result.stderr)
        return 255
    stamp.touch()
    return 0


if __name__ == "__main__":
    sys.exit(main())
