"""Template of a questionnaire, with a comment for each key."""

QUESTIONNAIRE_TEMPLATE = """\
; Questionnaire of a search deployment. Fill in the values, then run
; `crocusbay plan` to see what changes and `crocusbay apply` to make it so.

[deployment]
; Name by which callers reach the deployment.
name = {name}
; Revision that this questionnaire revises; 0 for a new deployment.
revision = 0
; Hosts that share the connections of each server.
hosts = 7
; What matters most when not everything can be had: latency or coverage.
weigh_most = latency
; Answers are due within this time, even if they are partial.
answer_within_ms = 250
; Extra requests to the servers (hedges, retries), of those needed.
extra_load_percent = 5
; Requests that one host runs at once; the rest are refused at once.
concurrent_requests = 40

[places]
; Data centres that the services run in.
names = place-1, place-2, place-3

[service catalogue]
; search: part of every search; document: single documents; order: orders.
kind = search
; Services of this kind, each with its own shards.
count = 20
; Servers of each service.
servers = 2
; Requests that one server runs at once.
slots = 2
; Connections that one server accepts from all hosts together.
connections = 25
; Cost of a new connection.
connect_ms = 6

[service orders]
kind = order
count = 1
servers = 3
slots = 6
connections = 100
connect_ms = 1
"""
