// Package wire holds the messages that processes exchange and the records that
// they store. The types are generated from the .proto files beside this one;
// run "make generate" after changing a schema and commit the result.
//
// Messages travel in two codecs. Datagrams, stream prefaces, log entries and
// snapshots use the protobuf binary form. Calls between processes use the JSON
// form inside JSON-RPC 2.0.
package wire

//go:generate sh -c "protoc --go_out=../.. --go_opt=module=mangokeel *.proto"
