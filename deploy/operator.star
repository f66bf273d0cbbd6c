# The operators' settings: what this installation has beside what the platform tells each node.
# 'gaugestand check-config --settings deploy/operator.star' says what is in effect. All of it is optional.
# See docs/operators/settings.md.

# A store of record, where a disk lasts (docs/operators/record.md):
# record(backend = "sqlite", path = "/var/lib/gaugestand/record.db", sync = "full")

log(form = "text", level = "info")
