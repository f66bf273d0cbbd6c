# The operators' settings: those of this installation that the platform does not configure at each node.
# 'gaugestand check-config --settings deploy/operator.star' prints the settings in effect. All of them are optional.
# See docs/operators/settings.md.

# A store of record, for a node with a durable disk (docs/operators/record.md):
# record(backend = "sqlite", path = "/var/lib/gaugestand/record.db", sync = "full")

log(form = "text", level = "info")
