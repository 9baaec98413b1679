"""The console of forms for operators."""
