#!/usr/bin/env python3
"""Checks the pages: every relative link leads to a file, and every heading it names exists."""
import pathlib
import re
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
LINK = re.compile(r"\[[^\]]*\]\(([^)\s]+)\)")
DOC_LINK = re.compile(r"\((?:\.\./)+(docs/[^)#\s]+)")


def anchors(page):
    titles = re.findall(r"^#+ (.+)$", page.read_text(), re.M)
    return {re.sub(r"[^\w\- ]", "", title.lower()).strip().replace(" ", "-") for title in titles}


def check_page(page):
    for target in LINK.findall(page.read_text()):
        if re.match(r"[a-z]+:", target):
            continue
        path, _, anchor = target.partition("#")
        file = (page.parent / path).resolve() if path else page
        if not file.exists():
            yield f"{page.relative_to(ROOT)}: no such file: {target}"
        elif anchor and file.suffix == ".md" and anchor not in anchors(file):
            yield f"{page.relative_to(ROOT)}: no such heading: {target}"


def check_source(source):
    for target in DOC_LINK.findall(source.read_text()):
        if not (ROOT / target).exists():
            yield f"{source.relative_to(ROOT)}: no such page: {target}"


def main():
    skip = {"target", ".git", "run"}
    kept = lambda p: not skip & set(p.relative_to(ROOT).parts)
    faults = [f for page in ROOT.rglob("*.md") if kept(page) for f in check_page(page)]
    faults += [f for source in ROOT.rglob("*.rs") if kept(source) for f in check_source(source)]
    print("\n".join(faults) or "docs: all links lead somewhere")
    sys.exit(bool(faults))


main()
