package cli

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"wigeonwinch/cmd/internal/apiclient"
	"wigeonwinch/node/jobapi"
)

// jobsAddressHelp is part of the help of all job commands.
const jobsAddressHelp = "\n\nSet --nodes to the metrics addresses of nodes on the platform. Pass the token in their\n" +
	"WIGEONWINCH_OPERATOR_TOKEN with --token-file or WIGEONWINCH_TOKEN."

func queuesCommand() *cli.Command {
	return &cli.Command{
		Name: "queues", Usage: "show the queues, their numbers of waiting jobs and the run times learned",
		Description: "Example:\n  wigeonwinch --nodes 10.0.0.5:7061 queues" + jobsAddressHelp,
		Action: func(ctx context.Context, cmd *cli.Command) error {
			var queues []jobapi.Queue
			if err := getFromNodes(ctx, cmd, "/v1/queues", &queues); err != nil {
				return err
			}
			return printOutput(cmd, queues, func() table {
				t := table{header: []string{"queue", "service", "priority", "attempts", "waiting", "run_time_ms"}}
				for _, q := range queues {
					waiting := "not known"
					if q.Waiting != nil {
						waiting = strconv.Itoa(*q.Waiting)
					}
					runTime := "as declared"
					if q.RunTimes != nil {
						runTime = fmt.Sprintf("%d, p90 %d", q.RunTimes.MeanMS, q.RunTimes.P90MS)
					}
					t.add(q.Name, q.Service, q.Priority, q.MaxAttempts, waiting, runTime)
				}
				return t
			})
		},
	}
}

func jobsCommand() *cli.Command {
	queue := &cli.StringFlag{Name: "queue", Usage: "queue of the job", Required: true}
	return &cli.Command{
		Name: "jobs", Usage: "submit, show, list and cancel jobs",
		Commands: []*cli.Command{
			{
				Name: "submit", Usage: "submit a job from a JSON file, - for standard input", ArgsUsage: "FILE", Flags: []cli.Flag{queue},
				Description: "Example:\n  wigeonwinch --nodes 10.0.0.5:7061 jobs submit --queue lint job.json" + jobsAddressHelp,
				Action: func(ctx context.Context, cmd *cli.Command) error {
					body, err := readArgument(cmd)
					if err != nil {
						return err
					}
					return changeJob(ctx, cmd, http.MethodPost, jobsPath(cmd, ""), body)
				},
			},
			{
				Name: "show", Usage: "show a job and its tasks", ArgsUsage: "ID", Flags: []cli.Flag{queue},
				Description: "Example:\n  wigeonwinch --nodes 10.0.0.5:7061 jobs show --queue lint 5c0e7a21d94b36f8" + jobsAddressHelp,
				Action:      showJob,
			},
			{
				Name: "cancel", Usage: "cancel a job", ArgsUsage: "ID", Flags: []cli.Flag{queue},
				Description: "Example:\n  wigeonwinch --nodes 10.0.0.5:7061 jobs cancel --queue lint 5c0e7a21d94b36f8" + jobsAddressHelp,
				Action: func(ctx context.Context, cmd *cli.Command) error {
					if cmd.Args().First() == "" {
						return exitErrorf(ExitUsage, "no job id is given: write it as the argument")
					}
					return changeJob(ctx, cmd, http.MethodDelete, jobsPath(cmd, cmd.Args().First()), nil)
				},
			},
			{
				Name: "list", Usage: "list a queue's jobs, the newest first",
				Flags:       []cli.Flag{queue, &cli.IntFlag{Name: "limit", Usage: "maximum number of jobs", Value: 100}},
				Description: "Example:\n  wigeonwinch --nodes 10.0.0.5:7061 jobs list --queue lint" + jobsAddressHelp,
				Action:      listJobs,
			},
		},
	}
}

func jobsPath(cmd *cli.Command, id string) string {
	path := "/v1/queues/" + url.PathEscape(cmd.String("queue")) + "/jobs"
	if id != "" {
		path += "/" + url.PathEscape(id)
	}
	return path
}

// changeJob submits or cancels a job through the first node that answers. Both
// requests are safe to repeat.
func changeJob(ctx context.Context, cmd *cli.Command, method, path string, body []byte) error {
	var out jobapi.JobReceipt
	err := tryNodes(cmd, func(c *apiclient.Client) error { return c.Change(ctx, method, path, body, &out) })
	var api *apiclient.Error
	if errors.As(err, &api) && api.Problem.Status == http.StatusGatewayTimeout {
		return &exitError{ExitUnknownOutcome, err}
	}
	if err != nil {
		return err
	}
	return printOutput(cmd, out, func() table {
		t := table{header: []string{"job", "outcome"}}
		t.add(out.ID, out.Outcome)
		return t
	})
}

func showJob(ctx context.Context, cmd *cli.Command) error {
	if cmd.Args().First() == "" {
		return exitErrorf(ExitUsage, "no job id is given: write it as the argument")
	}
	var job jobapi.JobDetails
	if err := getFromNodes(ctx, cmd, jobsPath(cmd, cmd.Args().First()), &job); err != nil {
		return err
	}
	return printOutput(cmd, job, func() table {
		t := table{header: []string{"task", "run", "state", "worker", "failures", "for"}}
		for _, r := range job.Runs {
			t.add(strconv.Itoa(r.Occurrence)+"."+strconv.Itoa(r.Step)+"."+strconv.Itoa(r.Index), r.Run, r.State, r.Worker, r.Fails, time.Duration(r.SinceMS)*time.Millisecond)
		}
		t.add("job", "", job.State, "", "", "")
		return t
	})
}

func listJobs(ctx context.Context, cmd *cli.Command) error {
	var out jobapi.JobList
	if err := getFromNodes(ctx, cmd, jobsPath(cmd, "")+"?limit="+strconv.Itoa(int(cmd.Int("limit"))), &out); err != nil {
		return err
	}
	return printOutput(cmd, out.Jobs, func() table {
		t := table{header: []string{"job", "state", "priority", "tasks", "done", "running", "slack"}}
		for _, j := range out.Jobs {
			t.add(j.ID, j.State, j.Priority, j.Tasks, j.Done, j.Running, time.Duration(j.SlackMS)*time.Millisecond)
		}
		return t
	})
}
