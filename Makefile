.PHONY: all demo test build generate
all: build

build:
	go build -o bin/ ./cmd/...

# Builds everything, starts a deployment and runs callers against it.
demo:
	go run ./test/lab demo

test:
	bash .ci/run

# Regenerates peer/peerpb; needs buf, protoc-gen-go and protoc-gen-go-grpc on PATH.
generate:
	buf generate
