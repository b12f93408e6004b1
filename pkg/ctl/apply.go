package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/spf13/cobra"
	"google.golang.org/protobuf/encoding/protojson"

	"github.com/rattanhitch/rattanhitch/pkg/config"
	configv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/config/v1"
	operatorv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/operator/v1"
	"github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/operator/v1/operatorv1connect"
)

const applyLong = `Apply commits all objects of a file as one change.

The file holds JSON objects of rattanhitch.config.v1.Object, one after the other or in an array:

  {"service": {"name": "lookup", "defaultTimeoutMs": 1000}}

An object with a "version" is written only if that is still its current version. An object without one is based on the
version that is current when the command starts.`

func newApplyCommand(o *options) *cobra.Command {
	var file, requestID string
	command := &cobra.Command{
		Use:   "apply",
		Short: "Create or change objects",
		Long:  applyLong,
		Args:  exactArgs(0),
		RunE: func(command *cobra.Command, _ []string) error {
			objects, err := readObjects(command.InOrStdin(), file)
			if err != nil {
				return err
			}
			return o.withClient(command, func(ctx context.Context, client operatorv1connect.OperatorServiceClient) error {
				mutations, err := putMutations(ctx, client, objects)
				if err != nil {
					return err
				}
				return o.apply(ctx, command, client, requestID, mutations)
			})
		},
	}
	command.Flags().StringVarP(&file, "file", "f", "", "JSON file, or - for standard input")
	_ = command.MarkFlagFilename("file", "json")
	addRequestID(command, &requestID)
	return command
}

func addRequestID(command *cobra.Command, requestID *string) {
	command.Flags().StringVar(requestID, "request-id", "",
		"ID of the change; to repeat a change whose outcome is unknown, use the same ID")
}

// readObjects reads the objects of a file, or of in if file is "-". Errors are marked errUsage.
func readObjects(in io.Reader, file string) ([]*configv1.Object, error) {
	if file == "" {
		return nil, usagef("--file: must name a file, or - for standard input")
	}
	if file != "-" {
		f, err := os.Open(file)
		if err != nil {
			return nil, usagef("--file: %v", err)
		}
		defer func() { _ = f.Close() }()
		in = f
	}
	objects, err := decodeObjects(in)
	if err != nil {
		return nil, usagef("--file=%s: %v", file, err)
	}
	return objects, nil
}

// decodeObjects reads JSON values until the end of in. Each is an object or an array of objects.
func decodeObjects(in io.Reader) ([]*configv1.Object, error) {
	var objects []*configv1.Object
	decoder := json.NewDecoder(in)
	for {
		var raw json.RawMessage
		err := decoder.Decode(&raw)
		if errors.Is(err, io.EOF) {
			return objects, nil
		}
		if err != nil {
			return nil, errors.Wrap(err, "not JSON")
		}
		items := []json.RawMessage{raw}
		if bytes.HasPrefix(bytes.TrimSpace(raw), []byte("[")) {
			if err := json.Unmarshal(raw, &items); err != nil {
				return nil, err
			}
		}
		for _, item := range items {
			object := &configv1.Object{}
			if err := protojson.Unmarshal(item, object); err != nil {
				return nil, errors.Wrapf(err, "decode object %d", len(objects)+1)
			}
			objects = append(objects, object)
		}
	}
}

// putMutations returns a mutation for each object. Its base version is the version of the object, or the current version on the
// server if the object has none.
func putMutations(ctx context.Context, client operatorv1connect.OperatorServiceClient, objects []*configv1.Object) ([]*configv1.Mutation, error) {
	mutations := make([]*configv1.Mutation, 0, len(objects))
	for _, object := range objects {
		base := object.GetVersion()
		if base == 0 {
			current, err := getObject(ctx, client, config.KeyOf(object))
			if err != nil && connect.CodeOf(err) != connect.CodeNotFound {
				return nil, err
			}
			base = current.GetVersion()
		}
		mutations = append(mutations, &configv1.Mutation{Action: &configv1.Mutation_Put{Put: object}, BaseVersion: base})
	}
	return mutations, nil
}

// getObject fetches an object from the server. Errors are those of the call.
func getObject(ctx context.Context, client operatorv1connect.OperatorServiceClient, key config.Key) (*configv1.Object, error) {
	req := &operatorv1.GetRequest{Key: &configv1.ObjectKey{Kind: key.Kind, Name: key.Name}}
	resp, err := client.Get(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, err
	}
	return resp.Msg.GetObject(), nil
}

// apply commits mutations as one change and prints the resulting version. It generates a request ID if none is given.
func (o *options) apply(ctx context.Context, command *cobra.Command, client operatorv1connect.OperatorServiceClient, requestID string, mutations []*configv1.Mutation) error {
	if requestID == "" {
		requestID = uuid.NewString()
	}
	req := &operatorv1.ApplyRequest{RequestId: requestID, Mutations: mutations}
	resp, err := client.Apply(ctx, connect.NewRequest(req))
	if err != nil {
		return markUnknownOutcome(err, requestID)
	}
	return o.print(command.OutOrStdout(), resp.Msg, func() [][]string {
		return [][]string{{fmt.Sprintf("committed as version %d", resp.Msg.GetVersion())}}
	})
}
