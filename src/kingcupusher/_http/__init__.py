"""HTTP/1.1 connections: h11 over curio sockets."""

from __future__ import annotations
