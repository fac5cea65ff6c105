package ctl

import (
	"encoding/json"
	"os"
	"testing"
)

// Guards against a configuration check that passes over findings or errors with exit code 0, or
// counts differences as findings.
func TestConfigCheckExitCodes(t *testing.T) {
	c := newCLITest(t)
	for name, text := range map[string]string{
		"good":      `{"version":2,"routes":[{"host":"198.18.0.1","prefix":"/80/","service":"s"}],"services":[{"name":"s"}]}`,
		"before":    `{"version":1,"routes":[{"host":"198.18.0.1","prefix":"/80/","service":"s","timeoutMs":500}],"services":[{"name":"s"}]}`,
		"doubtful":  `{"version":2,"routes":[{"host":"198.18.0.1","prefix":"/80/","service":"s"}],"services":[]}`,
		"malformed": `{"version":2,"routes":[{"host":"198.18.0.1","prefix":"/80/","service":"s","priority":"high"}]}`,
	} {
		if err := os.WriteFile(c.path(name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	c.run(ExitOK, "version 2, no findings", "config", "check", c.path("good"))
	c.run(ExitOK, "~ route 198.18.0.1:80: timeoutMs 500 -> none", "config", "check", c.path("good"), "--in-force", c.path("before"))
	c.run(ExitError, `service "s" is not in services`, "config", "check", c.path("doubtful"))
	c.run(ExitError, `[507] route 0: priority must be a number, not "high"`, "config", "check", c.path("malformed"))
	c.run(ExitError, "monsoonctl: [403] --in-force", "config", "check", c.path("good"), "--in-force", c.path("malformed"))
	c.run(ExitError, "version 1 is not above 2", "config", "check", c.path("before"), "--in-force", c.path("good"))
	c.run(ExitError, "[601]", "config", "check", c.path("absent"))
	c.run(ExitUsage, "requires 1 arguments", "config", "check")
	c.run(ExitUsage, "must not be negative", "config", "check", c.path("good"), "--slots", "-1")

	c.run(ExitError, "", "config", "check", c.path("malformed"), "--output", "json")
	var got configCheckResult
	if err := json.Unmarshal(c.out.Bytes(), &got); err != nil || len(got.Findings) != 1 || got.Findings[0].Code != 507 || got.Findings[0].Entry != "route 0" || got.Findings[0].Field != "priority" {
		t.Errorf("%v: %+v", err, got)
	}
}
