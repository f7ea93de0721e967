"""Operations on a running system through the control listeners of its nodes. This package prints nothing."""
