package questionnaire_test

import (
	"errors"
	"fmt"

	"github.com/monsoonthread/monsoonthread/questionnaire"
)

const shopQuestionnaire = `deployment: shop
failure_domains:
  - name: laval
services:
  - name: orders
    address: 192.0.2.1:5683
    default_deadline: 2s
    max_deadline: 10s
    requests:
      - {method: POST, path: /orders, urgency: urgent, idempotent: false}
    hosts:
      - {name: orders-01, failure_domain: laval, address: 192.0.2.11:5683, slots: %d}
`

// Guards against a default that differs from docs/QUESTIONNAIRE.md.
func ExampleGenerate() {
	answers, err := questionnaire.Parse(fmt.Appendf(nil, shopQuestionnaire, 4))
	if err != nil {
		fmt.Println(err)
		return
	}
	c, err := questionnaire.Generate(answers, nil)
	if err != nil {
		fmt.Println(err)
		return
	}
	host := c.Services[0].BackendServers[0]
	fmt.Printf("version %d: %s has ID %d; %s has %d slots and %d connections\n",
		c.Version, c.Services[0].Name, c.Services[0].ID, host.Name, host.Slots, host.Connections)
	// Output: version 1: orders has ID 1; orders-01 has 4 slots and 2000 connections
}

// Guards against a mistake that is reported without its line, field or allowed values.
func ExampleParse() {
	_, err := questionnaire.Parse(fmt.Appendf(nil, shopQuestionnaire, 0))
	var mistakes *questionnaire.Errors
	if errors.As(err, &mistakes) {
		for _, m := range mistakes.List {
			fmt.Println(m)
		}
	}
	// Output:
	// line 12: services[0].hosts[0].slots: "0" is not allowed; allowed: whole number from 1 to 1024
}
