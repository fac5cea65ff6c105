package config_test

import (
	"context"
	"fmt"

	"github.com/monsoonthread/monsoonthread/config"
	"github.com/monsoonthread/monsoonthread/questionnaire"
	"github.com/monsoonthread/monsoonthread/result"
)

// memoryStore is an in-memory config.Store. It is not safe for concurrent use.
type memoryStore map[string]struct {
	value    []byte
	revision uint64
}

func (s memoryStore) Get(_ context.Context, key string) ([]byte, uint64, error) {
	e, ok := s[key]
	if !ok {
		return nil, 0, result.Errorf(result.StoreNotFound, "key %s does not exist", key)
	}
	return e.value, e.revision, nil
}

func (s memoryStore) Put(_ context.Context, key string, value []byte, ifRevision uint64) (uint64, error) {
	e := s[key]
	if e.revision != ifRevision {
		return 0, result.Errorf(result.StoreConflict, "key %s has revision %d", key, e.revision)
	}
	e.value, e.revision = value, e.revision+1
	s[key] = e
	return e.revision, nil
}

func (s memoryStore) Watch(ctx context.Context, key string, _ uint64) ([]byte, uint64, error) {
	return s.Get(ctx, key)
}

// Two operators accept different proposals for the same version. Guards against both taking
// effect, and against an instance that rolls back to a lower version.
func ExampleAccept() {
	ctx, store := context.Background(), memoryStore{}
	answers, err := questionnaire.Parse(questionnaire.Template("bellefleur"))
	if err != nil {
		fmt.Println(err)
		return
	}
	first, _ := questionnaire.Generate(answers, nil)
	answers.Services[0].MaxDeadline += 1000
	second, _ := questionnaire.Generate(answers, nil)

	version, err := config.Accept(ctx, store, first, 0, "operator-1")
	fmt.Println("first operator: version", version, err)
	_, err = config.Accept(ctx, store, second, 0, "operator-2")
	fmt.Println("second operator: code", result.CodeOf(err))
	version, err = config.Accept(ctx, store, first, 0, "operator-1")
	fmt.Println("first operator again: version", version, err)

	accepted, err := config.Load(ctx, store)
	if err != nil {
		fmt.Println(err)
		return
	}
	var current config.Current
	fmt.Println("in force:", current.Apply(accepted), current.Version())
	fmt.Println("applied again:", current.Apply(accepted))
	// Output:
	// first operator: version 1 <nil>
	// second operator: code 402
	// first operator again: version 1 <nil>
	// in force: true 1
	// applied again: false
}

// Guards against a change that is not shown to operators.
func ExampleDiff() {
	answers, err := questionnaire.Parse(questionnaire.Template("bellefleur"))
	if err != nil {
		fmt.Println(err)
		return
	}
	before, _ := questionnaire.Generate(answers, nil)
	answers.Services[0].BackendServers[0].Leaving = true
	after, _ := questionnaire.Generate(answers, before)
	for _, c := range config.Diff(before, after) {
		fmt.Println(c)
	}
	// Output:
	// ~ service orders backend server orders-01: leaving false -> true
}
