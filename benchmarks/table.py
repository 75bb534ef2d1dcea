"""Prints the figures of benchmark runs and compares two of them."""

import json
import sys


def load(path):
    with open(path, encoding="utf-8") as file:
        return {(f["program"], f["name"]): f for f in json.load(file)}


def merge(target, sources):
    figures = []
    for source in sources:
        with open(source, encoding="utf-8") as file:
            figures += json.load(file)
    with open(target, "w", encoding="utf-8") as file:
        json.dump(figures, file, indent=2)
        file.write("\n")
    return figures


def print_table(figures):
    row = "{:<14} {:<46} {:>14} {:<10} {:<12} {}"
    print(row.format("program", "name", "figure", "unit", "bound", "verdict"))
    for f in figures:
        verdict = "-" if f["bound"] == "-" else "holds" if f["holds"] else "BROKEN"
        figure = "{:.6g}".format(f["value"])
        print(row.format(f["program"], f["name"], figure, f["unit"], f["bound"], verdict))
    broken = sum(not f["holds"] for f in figures)
    bounded = sum(f["bound"] != "-" for f in figures)
    print(f"{len(figures)} figures, {bounded} with a bound, {broken} broken")
    return broken


def compare(old_path, new_path):
    old, new = load(old_path), load(new_path)
    row = "{:<14} {:<46} {:>14} {:>14} {:>9} {}"
    print(row.format("program", "name", "old", "new", "change", "verdict"))
    worse = 0
    for key in sorted(old.keys() | new.keys()):
        before, after = old.get(key), new.get(key)
        if before is None or after is None:
            print(row.format(*key, "-" if before is None else before["value"],
                             "-" if after is None else after["value"], "-", ""))
            worse += after is None and before["bound"] != "-"
            continue
        change = "-"
        if before["value"]:
            change = "{:+.1f} %".format(100 * (after["value"] / before["value"] - 1))
        verdict = "" if after["holds"] else "BROKEN"
        worse += not after["holds"]
        print(row.format(*key, "{:.6g}".format(before["value"]),
                         "{:.6g}".format(after["value"]), change, verdict))
    return worse


def main(arguments):
    if arguments[0] == "compare":
        return 1 if compare(arguments[1], arguments[2]) else 0
    return 1 if print_table(merge(arguments[1], arguments[2:])) else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
