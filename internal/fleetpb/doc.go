// Package fleetpb encodes the datagrams between store-based instances and the ownership state in the store. The members and keys
// services and the feed use it. The code in fleet.pb.go is generated from fleet.proto.
package fleetpb
