package ctl

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/monsoonthread/monsoonthread/config"
	"github.com/monsoonthread/monsoonthread/questionnaire"
	"github.com/monsoonthread/monsoonthread/result"
)

const defaultAcceptTimeout = time.Minute

func (a *app) questionnaireCommand() *cobra.Command {
	c := &cobra.Command{Use: "questionnaire", Short: "Fill in a questionnaire; generate, accept or reject a proposal", RunE: requireSubcommand}
	c.AddCommand(a.newCommand(), a.checkCommand(), a.generateCommand(), a.diffCommand(), a.acceptCommand(), a.rejectCommand())
	return c
}

// newCommand returns the command that fills in a questionnaire interactively or writes
// an example.
func (a *app) newCommand() *cobra.Command {
	var template, file string
	c := &cobra.Command{
		Use: "new", Short: "Fill in a questionnaire in the terminal, or write a complete example", Args: exactArgs(),
		RunE: func(*cobra.Command, []string) error {
			var answers []byte
			var err error
			if template == "" {
				answers, err = questionnaire.Ask(a.env.In, a.env.Err)
			} else if answers = questionnaire.Template(template); answers == nil {
				err = usagef("--template %q is not allowed; allowed: %s", template, strings.Join(questionnaire.Templates, ", "))
			}
			if err != nil {
				return err
			}
			if file == "" {
				_, err = a.env.Out.Write(answers)
				return err
			}
			return a.writeNewFile(file, answers)
		},
	}
	c.Flags().StringVar(&template, "template", "", "example to write: "+strings.Join(questionnaire.Templates, " or "))
	c.Flags().StringVar(&file, "file", "", "new file to write; if empty, the questionnaire is written to standard output")
	must(c.RegisterFlagCompletionFunc("template", cobra.FixedCompletions(questionnaire.Templates, cobra.ShellCompDirectiveNoFileComp)))
	return c
}

// writeNewFile fails if the file exists, so that it cannot overwrite existing answers.
func (a *app) writeNewFile(path string, b []byte) error {
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o644)
	if err != nil {
		return result.Errorf(result.SettingsInvalid, "write questionnaire: %w", err)
	}
	_, err = f.Write(b)
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	return err
}

func readQuestionnaire(path string) (*questionnaire.Answers, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, result.Errorf(result.SettingsInvalid, "read questionnaire: %w", err)
	}
	return questionnaire.Parse(b)
}

// checkResult summarizes a valid questionnaire.
type checkResult struct {
	Deployment string `json:"deployment"`
	Domains    int    `json:"failure_domains"`
	Services   int    `json:"services"`
}

func (r checkResult) writeText(w io.Writer) {
	fmt.Fprintf(w, "%s: no mistakes (%d failure domains, %d services)\n", r.Deployment, r.Domains, r.Services)
}

func (a *app) checkCommand() *cobra.Command {
	return &cobra.Command{
		Use: "check QUESTIONNAIRE", Short: "Validate a questionnaire and report every mistake", Args: exactArgs("QUESTIONNAIRE"),
		RunE: func(_ *cobra.Command, args []string) error {
			answers, err := readQuestionnaire(args[0])
			if err != nil {
				return err
			}
			return a.print(checkResult{answers.Deployment, len(answers.Domains), len(answers.Services)})
		},
	}
}

// generateResult summarizes a new proposal.
type generateResult struct {
	Proposal string          `json:"proposal"`
	Base     uint64          `json:"base"`
	Changes  []config.Change `json:"changes"`
	Size     string          `json:"size"`
}

func (r generateResult) writeText(w io.Writer) {
	fmt.Fprintf(w, "%s: proposal for version %d (%s)\n", r.Proposal, r.Base+1, r.Size)
	printChanges(w, r.Changes)
}

func printChanges(w io.Writer, changes []config.Change) {
	for _, c := range changes {
		fmt.Fprintln(w, c)
	}
	if len(changes) == 0 {
		fmt.Fprintln(w, "no changes")
	}
}

func (a *app) generateCommand() *cobra.Command {
	var file string
	c := &cobra.Command{
		Use: "generate QUESTIONNAIRE", Short: "Generate a proposal from a questionnaire and the accepted configuration", Args: exactArgs("QUESTIONNAIRE"),
		RunE: func(c *cobra.Command, args []string) error {
			answers, err := readQuestionnaire(args[0])
			if err != nil {
				return err
			}
			accepted, err := a.accepted(c.Context())
			if err != nil {
				return err
			}
			generated, err := questionnaire.Generate(answers, accepted)
			if err != nil {
				return err
			}
			if file == "" {
				file = answers.Deployment + ".proposal.json"
			}
			p := newProposal(answers.Deployment, generated.Version-1, generated)
			if err := p.write(file); err != nil {
				return err
			}
			return a.print(generateResult{file, p.Base, config.Diff(accepted, generated), p.sizeSummary()})
		},
	}
	c.Flags().StringVar(&file, "file", "", "proposal file to write; if empty, DEPLOYMENT.proposal.json")
	return c
}

// accepted loads the accepted configuration, or returns nil if none has been accepted.
func (a *app) accepted(ctx context.Context) (*config.Config, error) {
	store, err := a.openStore()
	if err != nil {
		return nil, err
	}
	c, err := config.Load(ctx, store)
	if result.CodeOf(err) == result.StoreNotFound {
		// Only a missing head means that no configuration has been accepted. A head
		// with a missing service value is an error.
		if _, _, headErr := config.ReadHead(ctx, store); result.CodeOf(headErr) == result.StoreNotFound {
			return nil, nil
		}
	}
	return c, err
}

// diffResult lists the differences between the accepted configuration and a proposal.
type diffResult struct {
	Base     uint64          `json:"base"`
	Accepted uint64          `json:"accepted"`
	Changes  []config.Change `json:"changes"`
}

func (r diffResult) writeText(w io.Writer) {
	if r.Base != r.Accepted {
		fmt.Fprintf(w, "the proposal is based on version %d, but version %d is accepted; generate it again\n", r.Base, r.Accepted)
	}
	fmt.Fprintf(w, "changes from version %d to the proposal:\n", r.Accepted)
	printChanges(w, r.Changes)
}

func (a *app) diffCommand() *cobra.Command {
	return &cobra.Command{
		Use: "diff PROPOSAL", Short: "Show the changes from the accepted configuration to a proposal", Args: exactArgs("PROPOSAL"),
		RunE: func(c *cobra.Command, args []string) error {
			p, err := readProposal(args[0])
			if err != nil {
				return err
			}
			accepted, err := a.accepted(c.Context())
			if err != nil {
				return err
			}
			r := diffResult{Base: p.Base, Changes: config.Diff(accepted, p.Config)}
			if accepted != nil {
				r.Accepted = accepted.Version
			}
			return a.print(r)
		},
	}
}

// acceptResult reports an accepted proposal.
type acceptResult struct {
	Version  uint64 `json:"version"`
	AcceptID string `json:"accept_id"`
}

func (r acceptResult) writeText(w io.Writer) {
	fmt.Fprintf(w, "accepted as version %d (accept %s)\n", r.Version, r.AcceptID)
}

func (a *app) acceptCommand() *cobra.Command {
	var timeout time.Duration
	c := &cobra.Command{
		Use: "accept PROPOSAL", Short: "Accept a proposal and bring it into force", Args: exactArgs("PROPOSAL"),
		Long: "Accept a proposal and bring it into force on every entry instance. If the outcome is unknown\n" +
			"(code 407), run the command again with the same file to determine it. With --instances, the command\n" +
			"fails (code 404) while the store has an older version than the one in force.",
		RunE: func(c *cobra.Command, args []string) error {
			p, err := readProposal(args[0])
			if err != nil {
				return err
			}
			store, err := a.openStore()
			if err != nil {
				return err
			}
			if err := a.checkStoreNotBehind(c.Context()); err != nil {
				return err
			}
			resume := p.AcceptStarted
			p.AcceptStarted = true
			if err := p.write(args[0]); err != nil {
				return err
			}
			ctx, cancel := context.WithTimeout(c.Context(), timeout)
			defer cancel()
			acceptor := &config.Acceptor{Store: store, Resume: resume, Progress: a.acceptProgress}
			version, err := acceptor.Accept(ctx, p.Config, p.Base, p.AcceptID)
			if result.CodeOf(err) == result.ConfigConflict && !resume {
				p.AcceptStarted = false // a conflict on the first attempt rules out that it took effect
				return errors.Join(err, p.write(args[0]))
			}
			if err != nil {
				return err
			}
			return a.print(acceptResult{version, p.AcceptID})
		},
	}
	c.Flags().DurationVar(&timeout, "timeout", defaultAcceptTimeout, "maximum time to determine the outcome")
	return c
}

// checkStoreNotBehind fails if an instance has a higher version in force than the store, which then
// came back from an older copy: the next versions would be ignored. Without addresses of instances, or
// if none answers, there is nothing to compare.
func (a *app) checkStoreNotBehind(ctx context.Context) error {
	if len(a.instanceAddresses) == 0 {
		return nil
	}
	instances, err := a.newInstanceClient()
	if err != nil {
		return err
	}
	r, err := instances.inForce(ctx, 0)
	if err != nil {
		a.progress("cannot compare with the version in force: %v", err)
		return nil
	}
	accepted, err := a.acceptedVersion(ctx)
	if err != nil {
		a.progress("cannot compare with the version in force: %v", err)
		return nil
	}
	if r.Target > accepted {
		return result.Errorf(result.ConfigStale, "version %d is in force, but the store has version %d: it came back from an older copy; the instances write "+
			"version %d again within seconds, then generate the proposal again", r.Target, accepted, r.Target)
	}
	return nil
}

func (a *app) acceptProgress(written, total int) {
	const valuesPerLine = 100
	if written%valuesPerLine == 0 || written == total {
		a.progress("wrote %d of %d service values", written, total)
	}
}

// rejectResult reports a rejected proposal.
type rejectResult struct {
	Proposal string `json:"proposal"`
}

func (r rejectResult) writeText(w io.Writer) {
	fmt.Fprintf(w, "%s: rejected and removed\n", r.Proposal)
}

func (a *app) rejectCommand() *cobra.Command {
	return &cobra.Command{
		Use: "reject PROPOSAL", Short: "Reject a proposal by removing its file; nothing else changes", Args: exactArgs("PROPOSAL"),
		RunE: func(_ *cobra.Command, args []string) error {
			p, err := readProposal(args[0])
			if err != nil {
				return err
			}
			if p.AcceptStarted {
				return result.Errorf(result.AcceptUnresolved,
					"an accept of this proposal was started and may have taken effect; run accept again to determine the outcome, or remove the file")
			}
			if err := os.Remove(args[0]); err != nil {
				return result.Errorf(result.SettingsInvalid, "remove proposal: %w", err)
			}
			return a.print(rejectResult{args[0]})
		},
	}
}
