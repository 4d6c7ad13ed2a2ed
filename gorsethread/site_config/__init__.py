"""The site file: protobuf text format, its schema in site.proto, validation that names line and field."""
