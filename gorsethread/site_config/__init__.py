"""The site file: protobuf text format with the schema site.proto, and its validation."""
