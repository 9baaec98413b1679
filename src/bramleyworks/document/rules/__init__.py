"""The rules of a document, one module for each group."""
