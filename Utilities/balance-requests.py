#!/usr/bin/env python3
"""Balances the tries that callers counted with the lines of all nodes that served them.

The log holds JSON lines, with or without a time and the node's name in front. The report is a JSON
object whose members `tries`, `ends` and `looks` count the callers' tries, the last two by how they
ended. If it holds the `events` of the play, each cut that a line names is set beside the planned work
and the disturbances of its time. The exit code is 1 if the tries don't balance, or if a node closed a
connection on which it had read a request, cut a stream before the end of a stop, or dropped a request.
"""

import argparse
import collections
import datetime
import json
import pathlib
import re
import sys
import typing

NO_CONNECTION = "no connection"
CUT = "cut, no answer"
CUT_IN_RESPONSE = "cut in the answer"
LEFT_AT_LIMIT = "deadline"

# Lines of requests without an end, or with two.
DROPS = ("request_dropped", "request_ended_twice")
FAILURES = ("process_failed", "handler_failed", "session_failed", "task_failed", *DROPS)
CUT_STREAMS = ("broken", "cut_at_timeout")
CALLER_GONE = ("caller_left", "not_delivered")
# A failed write with another reason means that the node had closed the connection.
REASONS_OF_CALLER = ("Broken pipe", "Connection reset by peer")
# Errors of the connection to a server that has broken off, for lines without `ended_by`.
ERRORS_OF_SERVER = ("Broken pipe", "Connection reset by peer", "Connection timed out", "End of file",
                    "end of stream", "partial message")

CHANGE_KINDS = ("config_change", "big_config", "revoke", "version_bump")
RELOAD_KIND = "hup"
CHANGE = "change"
RELOAD = "reload"
STOP = "stop"

GRACE_S = 8.0
# A stop may cut streams in the last sixth of its grace time.
STREAM_CUT_S = GRACE_S * 5 / 6
APPLY_S = 2.0
STABLE_S = 3.0
# Planned work counts until a second after the grace time, or after the time for a change.
MARGIN_S = 1.0


class InputError(Exception):
    """A file that can't be used; the message names file, fault and remedy."""


class Span(typing.NamedTuple):
    """A time in which a play had planned work or a disturbance; no node means any node."""

    begin: float
    end: float
    kind: str
    name: str
    node: str = ""

    def holds(self, time, node):
        return self.begin <= time <= self.end and self.node in ("", node)


class Surroundings(typing.NamedTuple):
    """What happened in a play besides its requests."""

    planned: list
    disturbances: list
    out_of_touch: list


class Cut(typing.NamedTuple):
    """A request that a line names as cut."""

    begin: float
    time: float
    node: str
    text: str


def read_text(path):
    try:
        return pathlib.Path(path).read_text(encoding="utf-8", errors="replace")
    except OSError as error:
        raise InputError(f"{path} can't be read ({error.strerror}); name a readable file") from error


def read_log(paths):
    """Returns the log lines as (time, node, event object), and the number of incomplete lines."""
    lines = []
    incomplete = 0
    for path in paths:
        for text in read_text(path).split("\n"):
            start = text.find('{"')
            if start < 0:
                continue
            prefix = text[:start].split()
            if start > 0 and not (len(prefix) == 2 and re.fullmatch(r"-?\d+\.\d+", prefix[0])):
                continue
            try:
                event = json.loads(text[start:])
            except ValueError:
                incomplete += 1
                continue
            if "event" not in event:
                continue
            if prefix:
                lines.append((prefix[0], prefix[1], event))
            else:
                lines.append((event.get("time", ""), pathlib.Path(path).stem, event))
    return lines, incomplete


def read_report(path):
    """Returns the report, the number of tries and how many ended in each way."""
    try:
        report = json.loads(read_text(path))
        ends = collections.Counter(report["ends"])
        ends.update(report["looks"])
        return report, report["tries"], ends
    except (ValueError, KeyError, TypeError) as error:
        raise InputError(f"{path} is not a report with tries, ends and looks ({error}); "
                         "name the file that the play wrote") from error


def read_surroundings(report, lines):
    """Returns the planned work and the disturbances, or None if the report or the log holds no times of the play."""
    if "events" not in report or any(not is_time(time) for time, _, _ in lines):
        return None
    planned = [Span(float(time), float(time) + GRACE_S + MARGIN_S, STOP, "stop", node)
               for time, node, event in lines if event["event"] == "stopping"]
    disturbances = []
    confirmation = (report.get("config_ack_ms") or 0.0) / 1000
    for event in report["events"]:
        name = f"{event['kind']} at {event['at_s']:.1f}"
        kind = event["kind"].split()[0]
        if not event["planned"]:
            disturbances.append(Span(event["at_s"], event["to_s"] + STABLE_S, kind, name))
        elif kind in CHANGE_KINDS:
            end = event["at_s"] + confirmation + APPLY_S + MARGIN_S
            planned.append(Span(event["at_s"], max(event["to_s"], end), CHANGE, name))
        elif kind == RELOAD_KIND:
            # The report doesn't name all nodes of a reload.
            planned.append(Span(event["at_s"], event["to_s"] + APPLY_S, RELOAD, name))
    out_of_touch = [Span(float(begin), float(end), "", "out of touch", node)
                    for node, text in report.get("touch", {}).get("out", {}).items()
                    for begin, end in re.findall(r"(-?\d+\.?\d*) to (-?\d+\.?\d*)", text)]
    return Surroundings(planned, disturbances, out_of_touch)


def is_time(text):
    return re.fullmatch(r"-?\d+\.\d+", text) is not None


def to_seconds(text):
    """Returns a time of the play, or one of day, in seconds."""
    if is_time(text):
        return float(text)
    return datetime.datetime.fromisoformat(text.replace("Z", "+00:00")).timestamp()


def status_of(end):
    """Returns the status of an end such as "500 from a server", or None."""
    found = re.match(r"\d{3}\b", end)
    return found.group() if found else None


def count_lines(lines):
    """Returns the number of lines of requests by what the caller should have seen."""
    counts = collections.Counter()
    for _, _, event in lines:
        if is_cut_in_response(event):
            counts[CUT_IN_RESPONSE] += 1
        if event["event"] != "request" or event.get("forwarded_by"):
            continue
        if event["outcome"] in CUT_STREAMS:
            counts[CUT_IN_RESPONSE] += 1
        elif event["outcome"] in CALLER_GONE:
            counts[LEFT_AT_LIMIT] += 1
        else:
            counts[str(event["status"])] += 1
    return counts


def is_cut_for_node(event):
    """Returns whether the end of a process cut a forwarded request, which the caller's node logs too."""
    return event["event"] == "request_cut" and bool(event.get("forwarded_by"))


def is_cut_in_response(event):
    """Returns whether the end of a process cut a caller's response that had begun."""
    return event["event"] == "request_cut" and event["response_begun"] != 0 and not is_cut_for_node(event)


def describe_open(event):
    return (f"{event['request_id']}  {event['event']}, sends {event['sends']}, "
            f"response_begun {event['response_begun']}"
            + (f", for {event['forwarded_by']}" if event.get("forwarded_by") else ""))


def describe_unanswered(event):
    """Returns what a line tells of a request without a response and whether the caller closed, or None."""
    name = event["event"]
    if is_cut_for_node(event):
        return None
    if name in ("request_cut", "request_dropped") and not is_cut_in_response(event):
        return describe_open(event), False
    if name == "request" and event["outcome"] == "not_delivered":
        return (f"{event['request_id']}  not_delivered, {event['reason']}, sends {event['sends']}",
                event["reason"] in REASONS_OF_CALLER)
    if name == "connection_closed":
        bytes_left = ", ".join(f"{kind} {event[kind + '_bytes']}"
                               for kind in ("read", "unread", "discarded"))
        return (f"-  connection_closed, {event['reason']}, bytes {bytes_left}, "
                f"requests before {event['requests']}", event["reason"] == "caller")
    return None


def is_cut_by_node(event):
    """Returns whether a node ended a request though neither caller, limit, server nor stop did."""
    if event["event"] != "request":
        return False
    if "ended_by" in event:
        return event["ended_by"] == "node"
    return event["outcome"] == "broken" and event.get("connection_error", "") not in ERRORS_OF_SERVER


def find_stream_cuts(lines):
    """Returns the streams that the end of a process cut, at the end of its stop and otherwise."""
    at_end = []
    otherwise = []
    stops = {}
    for time, node, event in lines:
        if event["event"] == "stopping":
            stops[node] = time
        elif event["event"] == "serving":
            stops.pop(node, None)
        elif event["event"] == "request_cut" and event["response_begun"] != 0:
            stop = stops.get(node)
            allowed = stop is not None and to_seconds(time) - to_seconds(stop) >= STREAM_CUT_S
            (at_end if allowed else otherwise).append((time, node, describe_open(event)))
    return at_end, otherwise


def print_table(title, rows, columns=()):
    print((f"{title:<46}" + "".join(f"{column:>12}" for column in columns)).rstrip())
    for name, *values in rows:
        print(f"  {name:<44}" + "".join(f"{value:>12}" for value in values))
    print()


def print_unanswered(title, entries):
    print(f"{title}: {len(entries)}")
    for time, node, text in entries:
        print(f"  {time:>9}  {node}  {text}")
    print()


def name_cuts(lines):
    """Returns the requests that lines name as cut by a node, without and within a response."""
    cuts = []
    for time, node, event in lines:
        begin = float(time) - event.get("total_ms", 0.0) / 1000
        described = describe_unanswered(event)
        if described is not None and not described[1]:
            cuts.append(Cut(begin, float(time), node, described[0]))
        elif is_cut_in_response(event):
            cuts.append(Cut(begin, float(time), node, describe_open(event)))
        elif event["event"] == "request" and event["outcome"] in CUT_STREAMS and not event.get("forwarded_by"):
            parts = [event["outcome"], event["reason"], f"sends {event['sends']}"]
            if event.get("forwarded_to"):
                parts.append(f"forwarded to {event['forwarded_to']}")
            cuts.append(Cut(begin, float(time), node,
                            f"{event['request_id']}  {', '.join(part for part in parts if part)}"))
    return cuts


def print_cuts(lines, surroundings):
    """Prints for each named cut what it was beside, and for its node the cuts beside changes and otherwise."""
    cuts = name_cuts(lines)
    print(f"cut by a node, with the planned work and the disturbances of the time: {len(cuts)}")
    for cut in cuts:
        names = [span.name for span in surroundings.planned
                 if span.holds(cut.begin, cut.node) or span.holds(cut.time, cut.node)]
        names += [f"disturbed: {span.name}" for span in surroundings.disturbances
                  if span.begin <= cut.time and cut.begin <= span.end]
        names += [span.name for span in surroundings.out_of_touch if span.holds(cut.time, cut.node)]
        print(f"  {cut.time:9.4f}  {cut.node}  {cut.text}")
        print(f"{'':13}{'; '.join(names) or 'beside nothing'}")
    print()

    changes = [span for span in surroundings.planned if span.kind == CHANGE]
    counts = collections.Counter()
    for time, node, event in lines:
        if event["event"] in ("request", "request_cut", "request_dropped") and not event.get("forwarded_by"):
            begin = float(time) - event.get("total_ms", 0.0) / 1000
            counts[node, any(span.holds(begin, node) for span in changes)] += 1
    cut_counts = collections.Counter((cut.node, any(span.holds(cut.begin, cut.node) for span in changes))
                                     for cut in cuts)
    print_table("cuts by node",
                [(node, *(f"{cut_counts[node, beside]} of {counts[node, beside]}" for beside in (True, False)))
                 for node in sorted({cut.node for cut in cuts})],
                ("by changes", "otherwise"))


def balance(lines, tries, ends):
    """Prints the balance. Returns False if something is missing or was closed by a node."""
    events = collections.Counter(event["event"] for _, _, event in lines)
    outcomes = collections.Counter(
        (event["outcome"], event["status"], event["reason"])
        for _, _, event in lines if event["event"] == "request" and not event.get("forwarded_by"))
    forwarded = collections.Counter(event["event"] for _, _, event in lines if event.get("forwarded_by"))
    of_callers = events - forwarded
    print_table("request lines by outcome, status and reason",
                [(" ".join(str(part) for part in key if part not in ("", 0)), number)
                 for key, number in sorted(outcomes.items())])

    seen = collections.Counter()
    for end, number in ends.items():
        seen[status_of(end) or end] += number
    logged = count_lines(lines)
    print_table("how tries ended",
                [(end, seen[end], logged[end], seen[end] - logged[end])
                 for end in sorted(set(seen) | set(logged))],
                ("callers", "lines", "difference"))

    closed_by_node = []
    closed_by_caller = []
    for time, node, event in lines:
        described = describe_unanswered(event)
        if described is not None:
            text, by_caller = described
            (closed_by_caller if by_caller else closed_by_node).append((time, node, text))
    print_unanswered("read, no response, closed by the node", closed_by_node)
    print_unanswered("read, no response, the caller had left", closed_by_caller)
    print_unanswered("in a response, ended by the node", [
        (time, node, f"{event['request_id']}  {event['outcome']}, sends {event['sends']}, "
                     f"error \"{event.get('connection_error', '')}\", "
                     f"{event['total_ms']:.0f} of {event['limit_ms']:.0f} ms"
                     + (f", for {event['forwarded_by']}" if event.get("forwarded_by") else ""))
        for time, node, event in lines if is_cut_by_node(event)])
    cut_at_end, cut_early = find_stream_cuts(lines)
    print_unanswered("in a response, cut at the end of a stop", cut_at_end)
    print_unanswered("in a response, cut before the end of a stop", cut_early)
    failures = [(name, events[name]) for name in FAILURES if events[name] > 0]
    if failures:
        print_table("failures of nodes", failures)

    with_line = (of_callers["request"] + of_callers["request_cut"] + of_callers["request_dropped"]
                 + events["body_refused"])
    without_line = tries - seen[NO_CONNECTION] - with_line
    print_table("balance",
                [("tries", tries),
                 ("  without a connection", seen[NO_CONNECTION]),
                 ("  with a request line", of_callers["request"]),
                 ("  with request_cut", of_callers["request_cut"]),
                 ("  with request_dropped", of_callers["request_dropped"]),
                 ("  with body_refused", events["body_refused"]),
                 ("  without a line", without_line),
                 ("request lines of forwarded requests", forwarded["request"]),
                 ("request_cut of forwarded requests", forwarded["request_cut"]),
                 (f"tries that ended \"{CUT}\"", seen[CUT]),
                 ("  closed by the node, with bytes read", len(closed_by_node)),
                 ("  read by no node, or closed in front of it", seen[CUT] - len(closed_by_node))])

    whole = sum(ends.values()) == tries
    if not whole:
        print(f"The ends add up to {sum(ends.values())}, not to the {tries} tries.")
    if without_line != seen[CUT]:
        print(f"{without_line} tries have no line, {seen[CUT]} were cut without a response: compare the rows "
              "above. A try that was refused or given up before it was read has no line; a cut try with a "
              "line is among caller_left and not_delivered.")
    dropped = any(events[name] > 0 for name in DROPS)
    return whole and without_line == seen[CUT] and not closed_by_node and not cut_early and not dropped


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n", maxsplit=1)[0])
    parser.add_argument("report", help="JSON report of the play")
    parser.add_argument("log", nargs="+", help="lines of all nodes, in one or more files")
    arguments = parser.parse_args()
    try:
        report, tries, ends = read_report(arguments.report)
        lines, incomplete = read_log(arguments.log)
        if not any(event["event"] == "request" for _, _, event in lines):
            raise InputError(f"{', '.join(arguments.log)} holds no request line; log all nodes in the play")
    except InputError as error:
        print(f"balance-requests: {error}", file=sys.stderr)
        return 2
    balanced = balance(lines, tries, ends)
    surroundings = read_surroundings(report, lines)
    if surroundings is not None:
        print_cuts(lines, surroundings)
    if incomplete > 0:
        print(f"{incomplete} lines of the log are incomplete and were left out.")
    return 0 if balanced and incomplete == 0 else 1


if __name__ == "__main__":
    sys.exit(main())
