"""Changes of messages that keep hosts of two versions from understanding each
other.

Guards against a check in CI that lets such a change pass, or that refuses one
which both versions can read.
"""

import pathlib
import subprocess
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parents[2]
RELEASED = """
struct Report {
  // Comments with 3: required i32 fields don't count.
  1: required string name
  2: optional list<i64> sizes
}
union Any { 1: Report report }
"""
CHANGES = [
    ("nothing", "", "", None),
    ("a new optional field", "sizes\n", "sizes\n 3: optional i32 more\n", None),
    ("a removed optional field", "  2: optional list<i64> sizes\n", "", None),
    ("another name", "string name", "string title", None),
    ("a new kind of message", "report }", "report 2: string text }", None),
    ("a new required field", "sizes\n", "sizes\n 3: required i32 more\n",
     "isn't optional"),
    ("a field without a word", "sizes\n", "sizes\n 3: i32 more\n", None),
    ("a removed required field", "  1: required string name\n", "", "is gone"),
    ("another type", "list<i64>", "list<i32>", "was list<i64>"),
    ("another need", "2: optional", "2: required", "was optional"),
    ("the other need", "1: required", "1: optional", "was required"),
    ("a struct for a union", "union Any", "struct Any", "was a union"),
    ("a removed message", "struct Report", "struct Other", "Report is gone"),
]


def check(current, released):
    """Exit code and output of the check."""
    done = subprocess.run([ROOT / ".ci/check-messages", current, released],
                          capture_output=True, text=True, check=False)
    return done.returncode, done.stdout + done.stderr


def main():
    """Tries each change."""
    wrong = []
    for what, old, new, told in CHANGES:
        with tempfile.TemporaryDirectory() as name:
            folders = [pathlib.Path(name) / one for one in ("new", "old")]
            for folder, text in zip(folders,
                                    (RELEASED.replace(old, new), RELEASED)):
                folder.mkdir()
                (folder / "one.thrift").write_text(text)
            code, text = check(*folders)
        if (code, told or "") != (1 if told else 0, told or "") or (
                told and told not in text):
            wrong.append(f"{what}: {code} {text}")
    code, text = check(ROOT / "thrift", ROOT / "thrift/released")
    if code:
        wrong.append(text)
    for line in wrong:
        print(line)
    return 1 if wrong else 0


if __name__ == "__main__":
    sys.exit(main())
